"""A proxy on loopback that spoils the connections through it."""

import asyncio
import socket

CHUNK_BYTES = 65536
DELAY_S = 0.15
CHECK_S = 0.02


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Proxy:
    """Modes: "pass", "delay", "silent" (nothing passes either way), "to" and
    "from" (nothing passes to, or from, the server).  Connections that were
    opened in a silent time stay silent for good if `sticks`."""

    def __init__(self, port):
        self.target = port
        self.mode = "pass"
        self.sticks = False
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

    async def pump(self, reader, writer, way, state):
        while data := await reader.read(CHUNK_BYTES):
            while state["is_dead"] or self.mode in ("silent", way):
                state["is_dead"] = state["is_dead"] or self.sticks
                await asyncio.sleep(CHECK_S)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(self, reader, writer):
        peer = None
        self.writers.add(writer)
        try:
            far, peer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(peer)
            state = {"is_dead": False}
            await asyncio.gather(self.pump(reader, peer, "to", state),
                                 self.pump(far, writer, "from", state))
        except (ConnectionError, OSError):
            pass
        finally:
            for each in (writer, peer):
                if each is not None:
                    self.writers.discard(each)
                    reset(each)
