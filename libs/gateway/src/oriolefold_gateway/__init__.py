"""Request path: HTTP front end, dispatcher and forwarding between VMs."""
