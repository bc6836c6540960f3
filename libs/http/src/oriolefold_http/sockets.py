"""TCP sockets that detect a dead peer."""

import socket

KEEPALIVE_IDLE_S = 1  # Idle time after which the kernel probes a connection.
KEEPALIVE_INTERVAL_S = 1  # Interval between the probes.
KEEPALIVE_PROBES = 2  # Unanswered probes after which a connection is closed.
USER_TIMEOUT_MS = 3000  # Limit on the time that sent bytes stay unacknowledged.


def open_socket() -> socket.socket:
    """Returns a TCP socket that detects a dead peer."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    enable_keepalive(opened)
    return opened


def enable_keepalive(connected: socket.socket) -> None:
    """Makes the kernel close the connection if the peer does not respond."""
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
