"""Version of the program."""

VERSION = '0.1.0'
