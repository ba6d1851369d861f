"""A connection between two processes that can be cut and mended."""

import socket
import threading

READ_BYTES = 65536


class Relay:
    """Passes what comes to its own port on to another one.

    While cut, connections stay open and nothing gets through, as when a
    network drops packets.
    """

    def __init__(self, target):
        self.target = target
        self.flows = threading.Event()
        self.flows.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.sockets = []
        threading.Thread(target=self._accept, daemon=True).start()

    def url(self):
        return "http://127.0.0.1:%d" % self.port

    def cut(self):
        self.flows.clear()

    def mend(self):
        self.flows.set()

    def close(self):
        self.flows.set()
        self.listener.close()
        for end in self.sockets:
            end.close()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(near)
            threading.Thread(target=self._connect, args=(near,),
                             daemon=True).start()

    def _connect(self, near):
        self.flows.wait()
        try:
            far = socket.create_connection(("127.0.0.1", self.target))
        except OSError:
            near.close()
            return
        self.sockets.append(far)
        for pair in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=pair,
                             daemon=True).start()

    def _pump(self, source, sink):
        try:
            while data := source.recv(READ_BYTES):
                self.flows.wait()
                sink.sendall(data)
            self.flows.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                end.close()
