"""A small HTTP/1.1 reader and writer for asyncio streams. It is strict, so that
bytes which belong to no response are detected."""
import asyncio


class ConnectionBroken(Exception):
    """The connection failed, ended early, or carried malformed HTTP."""


class Message:
    """A request or a response. Field names are in lower case."""

    def __init__(self, start_line, fields, body):
        self.start_line = start_line
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.start_line.split()[1])


async def read_head(reader):
    """Returns the start line and the fields; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionBroken("the stream ended within a head") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise ConnectionBroken(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    """Returns the next message; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    start_line, fields = head
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunked_body(reader)
        else:
            body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise ConnectionBroken("the body was cut off") from error
    return Message(start_line, fields, body)


async def read_chunked_body(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def encode(start_line, fields, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, fields=None, body=b"", timeout=1.0):
    """Sends a request on a new connection and returns the response. Raises
    ConnectionBroken, or TimeoutError after `timeout` seconds."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise ConnectionBroken(str(error)) from error
        try:
            head = {"Host": address, "Connection": "close", **(fields or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
            response = await read_message(reader)
            if response is None:
                raise ConnectionBroken("no response")
            return response
        except OSError as error:
            raise ConnectionBroken(str(error)) from error
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)
