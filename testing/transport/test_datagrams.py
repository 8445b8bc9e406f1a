"""Reading from datagram sockets."""

from __future__ import annotations

import anyio
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.transport.datagrams import (
    DATAGRAMS_PER_BATCH,
    bound_address,
    open_datagram_socket,
    receive_datagrams,
)


class ReceiveTests(TestCase):
    """Receiving until a socket is closed, and detection of an empty socket."""

    def test_receiving_ends_when_the_socket_is_closed(self) -> None:
        """Guards against a crash when a planned stop closes a socket in use."""
        received: list[bytes] = []

        async def main() -> None:
            sock = open_datagram_socket("127.0.0.1", 0)
            address = bound_address(sock)

            def receive_and_close(data: bytes, sender: tuple[str, int]) -> None:
                received.append(data)
                sock.close()

            with open_datagram_socket("127.0.0.1", 0) as other:
                for data in (b"first", b"second"):
                    other.sendto(data, tuple(address))
                with anyio.fail_after(5):
                    await receive_datagrams(sock, receive_and_close)

        anyio.run(main)
        self.assertThat(received, Equals([b"first"]))

    def test_an_empty_socket_is_reported_after_a_full_batch(self) -> None:
        """Guards against treating the next datagram as one that has waited."""
        received: list[bytes] = []
        drained_after: list[int] = []

        async def main() -> None:
            sock = open_datagram_socket("127.0.0.1", 0)
            with sock, open_datagram_socket("127.0.0.1", 0) as other:
                for _ in range(DATAGRAMS_PER_BATCH):
                    other.sendto(b"data", tuple(bound_address(sock)))
                with anyio.move_on_after(0.2):
                    await receive_datagrams(
                        sock,
                        lambda data, sender: received.append(data),
                        lambda: drained_after.append(len(received)),
                    )

        anyio.run(main)
        self.assertThat(len(received), Equals(DATAGRAMS_PER_BATCH))
        self.assertThat(drained_after[-1:], Equals([DATAGRAMS_PER_BATCH]))
