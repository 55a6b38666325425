"""A small HTTP/1.1 reader and writer for asyncio streams, strict enough to
notice bytes that belong to no answer."""
import asyncio


class Broken(Exception):
    """The connection ended, or carried what is no HTTP message."""


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    """Returns the first line and the fields; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("the stream ended within a head") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, fields = head
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise Broken("the body was cut off") from error
    return Message(first, fields, body)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def encode(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, fields=None, body=b"", timeout=1.0):
    """One request on a connection of its own. Raises Broken or TimeoutError."""
    async def run():
        host, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise Broken(str(error)) from error
        try:
            head = {"Host": address, "Connection": "close", **(fields or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
            answer = await read_message(reader)
            if answer is None:
                raise Broken("no answer")
            return answer
        except OSError as error:
            raise Broken(str(error)) from error
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)
