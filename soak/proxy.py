"""A loopback TCP proxy that spoils the connections that run through it."""
import asyncio


class Proxy:
    """Listens at `public` and forwards to `real`. Faults hold until clear()."""

    def __init__(self, public, real):
        self.public = public
        self.real = real
        self.delay = 0.0
        # Bytes towards `real`, or back from it, are held and not forwarded.
        self.hold_in = False
        self.hold_out = False
        self.server = None
        self.links = set()

    async def start(self):
        host, port = self.public.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def clear(self):
        self.delay = 0.0
        self.hold_in = self.hold_out = False

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.links):
            writer.transport.abort()

    async def serve(self, reader, writer):
        host, port = self.real.rsplit(":", 1)
        try:
            real_reader, real_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.links |= {writer, real_writer}
        try:
            await asyncio.gather(self.pump(reader, real_writer, "hold_in"),
                                 self.pump(real_reader, writer, "hold_out"))
        except asyncio.CancelledError:
            # The run is over; asyncio would print the cancelled task.
            pass
        finally:
            self.links -= {writer, real_writer}
            for end in (writer, real_writer):
                end.close()

    async def pump(self, reader, writer, hold):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, hold):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
