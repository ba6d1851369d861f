"""A TCP proxy that a test can block and restore."""

import socket
import threading

READ_BYTES = 65536


class TcpProxy:
    """Forwards connections from its own port to a target port.

    While cut, connections stay open but no data passes, as when a network
    drops packets.
    """

    def __init__(self, target_port):
        self.target_port = target_port
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

    def _copy(self, source, sink):
        try:
            while data := source.recv(READ_BYTES):
                self.is_forwarding.wait()
                sink.sendall(data)
            self.is_forwarding.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for connection in (source, sink):
                connection.close()
