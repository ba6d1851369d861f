"""A TCP proxy that a test can block and restore, or make slow."""

import socket
import threading
import time

READ_BYTES = 65536
SLOW_READ_BYTES = 16384


class TcpProxy:
    """Forwards connections from its own port to a target port.

    While cut, connections stay open but no data passes, as when a network
    drops packets.  With bytes_per_s, all connections together carry no more.
    """

    def __init__(self, target_port, bytes_per_s=None):
        self.target_port = target_port
        self.bytes_per_s = bytes_per_s
        self.lock = threading.Lock()
        self.free_at = 0.0  # when the link has carried what it has taken
        self.is_forwarding = threading.Event()
        self.is_forwarding.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.sockets = []
        threading.Thread(target=self._accept, daemon=True).start()

    def url(self):
        return "http://127.0.0.1:%d" % self.port

    def cut(self):
        self.is_forwarding.clear()

    def restore(self):
        self.is_forwarding.set()

    def close(self):
        self.is_forwarding.set()
        self.listener.close()
        for connection in self.sockets:
            connection.close()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(client)
            threading.Thread(target=self._connect, args=(client,),
                             daemon=True).start()

    def _connect(self, client):
        self.is_forwarding.wait()
        try:
            server = socket.create_connection(("127.0.0.1", self.target_port))
        except OSError:
            client.close()
            return
        self.sockets.append(server)
        for pair in ((client, server), (server, client)):
            threading.Thread(target=self._copy, args=pair,
                             daemon=True).start()

    def _carry(self, size):
        """Waits as long as the link needs for SIZE bytes."""
        if self.bytes_per_s is None:
            return
        with self.lock:
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + size / self.bytes_per_s
            wait_s = self.free_at - now
        time.sleep(wait_s)

    def _copy(self, source, sink):
        size = READ_BYTES if self.bytes_per_s is None else SLOW_READ_BYTES
        try:
            while data := source.recv(size):
                self.is_forwarding.wait()
                self._carry(len(data))
                sink.sendall(data)
            self.is_forwarding.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for connection in (source, sink):
                connection.close()
