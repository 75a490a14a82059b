"""Helpers shared by HTTP/1.1 client and server connections.

The connections use httptools directly, because the servers and clients of other
libraries hide details that are needed here, such as bytes after a complete response, a
response without a length, and a caller that disconnected.
"""

import asyncio
import fcntl
import socket
import struct
import termios

# TCP keep-alive: idle time before the first probe, and the interval between probes.
PROBE_SECONDS = 1
# Buffer limit for a slow reader.
BUFFERED_BYTES = 262144
# Bound on consecutive body bytes without payload: chunk sizes, chunk extensions and
# trailers.
MAX_FRAMING_BYTES = 65536

# Connection-specific headers, which are not forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Statuses of responses without a body.
BODILESS = frozenset({204, 304})
MIN_STATUS, MAX_STATUS = 100, 599
SWITCHING_PROTOCOLS = 101

Headers = list[tuple[bytes, bytes]]


def is_response_status(status: int) -> bool:
    """Return whether a status may begin a response, interim or final.

    Upstreams in trouble have sent statuses such as 000. No request asks for another
    protocol, so that bytes after 101 would be no HTTP.
    """
    return MIN_STATUS <= status <= MAX_STATUS and status != SWITCHING_PROTOCOLS


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header with a lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def prepare_socket(transport: asyncio.Transport, unacknowledged_ms: int) -> None:
    """Enable detection of peers that lost power or network and send no reset."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's system has not acknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        # Not every environment supports this request.
        return transport.get_write_buffer_size()
    return transport.get_write_buffer_size() + struct.unpack("i", queued)[0]


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Return the encoded head of a request or response.

    :param start: the request or status line.
    """
    lines = [start]
    lines += [b"%b: %b" % pair for pair in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
