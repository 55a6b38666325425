"""Loopback networks for programs that run daemons as processes, several of them at a time."""
import errno
import socket

# A reservation is a socket that is bound to this port, which no daemon uses.
RESERVATION_PORT = 6999
SECOND_BYTES = range(20, 220)


class Network:
    """A network 127.N, reserved until this process and all that inherited it have ended or
    closed it. Daemons inherit it too, so that no other program takes the addresses of daemons
    that outlive the program that started them."""

    def __init__(self, second_byte, reservation):
        self.prefix = f"127.{second_byte}"
        self.reservation = reservation

    @property
    def inherited(self):
        """The file descriptors that daemons must inherit."""
        return [self.reservation.fileno()]

    def close(self):
        self.reservation.close()


def reserve_network():
    """Returns a Network that no running program has reserved."""
    for second_byte in SECOND_BYTES:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            reservation.bind((f"127.{second_byte}.0.1", RESERVATION_PORT))
            return Network(second_byte, reservation)
        except OSError as error:
            reservation.close()
            if error.errno != errno.EADDRINUSE:
                raise
    raise RuntimeError(f"all loopback networks 127.{SECOND_BYTES[0]} to 127.{SECOND_BYTES[-1]} "
                       "are reserved by running programs")
