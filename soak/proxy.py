"""A loopback TCP proxy that injects faults into the connections through it."""
import asyncio


class Proxy:
    """Listens at `public` and forwards to `real`. Faults last until clear()."""

    def __init__(self, public, real):
        self.public = public
        self.real = real
        # Delay of each read, in seconds.
        self.delay = 0.0
        # Whether bytes towards `real` (in) and from it (out) are withheld.
        self.hold_in = False
        self.hold_out = False
        self.server = None
        self.writers = set()

    async def start(self):
        host, port = self.public.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def clear(self):
        self.delay = 0.0
        self.hold_in = self.hold_out = False

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        host, port = self.real.rsplit(":", 1)
        try:
            real_reader, real_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, real_writer}
        try:
            await asyncio.gather(self.forward(reader, real_writer, "hold_in"),
                                 self.forward(real_reader, writer, "hold_out"))
        except asyncio.CancelledError:
            # The run has ended. Without this, asyncio would print the cancelled task.
            pass
        finally:
            self.writers -= {writer, real_writer}
            for peer in (writer, real_writer):
                peer.close()

    async def forward(self, reader, writer, hold_attribute):
        """Copies one direction while the attribute with this name is false."""
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, hold_attribute):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
