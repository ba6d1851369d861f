"""A TCP proxy on loopback that delays, blocks or resets its connections."""

import asyncio
import socket

CHUNK_BYTES = 65536
DELAY_S = 0.15
POLL_S = 0.02


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Proxy:
    """Modes: "pass", "delay", "silent" (blocks both directions), "to" and
    "from" (blocks data to, or from, the server).  With `blocks_permanently`
    a connection that was blocked while it had data to forward stays blocked
    in all modes."""

    def __init__(self, port):
        self.target = port
        self.mode = "pass"
        self.blocks_permanently = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            reset(writer)

    async def pump(self, reader, writer, direction, state):
        while data := await reader.read(CHUNK_BYTES):
            while state["is_dead"] or self.mode in ("silent", direction):
                state["is_dead"] = state["is_dead"] or self.blocks_permanently
                await asyncio.sleep(POLL_S)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(self, reader, writer):
        server_writer = None
        self.writers.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
            self.writers.add(server_writer)
            state = {"is_dead": False}
            await asyncio.gather(
                self.pump(reader, server_writer, "to", state),
                self.pump(server_reader, writer, "from", state))
        except (ConnectionError, OSError):
            pass
        finally:
            for each in (writer, server_writer):
                if each is not None:
                    self.writers.discard(each)
                    reset(each)
