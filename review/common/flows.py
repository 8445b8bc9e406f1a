"""Stand-ins of a target and of a client that exchange HTTP/1.1 requests in flows, as PROTOCOL.md describes them.

They cover what the cases need: one request a flow, requests and answers of one packet, copies of an opening packet
after 200 and 600 ms, and retransmissions after 200 ms.
"""

import hashlib
import http.client
import json
import random
import select
import socket
import struct
import threading
import time
from ipaddress import IPv4Address

HEAD = struct.Struct(">HIIHHIIIBI")  # len, sum, src, sport, dport, dst, seq, ack, flags, echo
LABEL = struct.Struct(">Q")
SYN, ACK, FIN, RST = 4, 64, 32, 16
KEY = b"review"
SPACE = 1 << 32
BEAT_S = 1.2
COPIES_S = (0.0, 0.2, 0.6)
OPENING_S = 1.4
REPEAT_S = 0.2


def _sum(src, sport, dport, dst, seq, ack, flags, data):
    text = struct.pack(">IHHIIIB", src, sport, dport, dst, seq, ack, flags & ~8) + data
    return int.from_bytes(hashlib.blake2b(text, key=KEY, digest_size=4).digest(), "big") or 1


def encode(src, sport, dst, dport, seq, ack, flags, echo, data=b""):
    check = _sum(src, sport, dport, dst, seq, ack, flags, data)
    return HEAD.pack(len(data), check, src, sport, dport, dst, seq, ack, flags, echo) + data


class Packet:
    """A decoded packet; is_forged says that its sum is not that of its sender."""

    def __init__(self, datagram):
        size, check, *fields = HEAD.unpack_from(datagram)
        self.src, self.sport, self.dport, self.dst, self.seq, self.ack, self.flags, self.echo = fields
        self.data = datagram[HEAD.size :]
        self.is_forged = size != len(self.data) or check != _sum(
            self.src, self.sport, self.dport, self.dst, self.seq, self.ack, self.flags, self.data
        )
        self.is_system_reset = bool(self.flags & RST) and check == 0


class Target:
    """A target that announces itself, and answers each request with its id."""

    def __init__(self, deployment, record, host, port, service, zone, controls):
        self.deployment, self.record, self.controls = deployment, record, list(controls)
        self.host, self.port, self.service, self.zone = host, port, service, zone
        self.identity = f"i-{random.getrandbits(32) | 1:08x}"
        self.label = int(self.identity[2:], 16)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.ran = []
        self.stopped = threading.Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        self.threads = [threading.Thread(target=t, daemon=True) for t in (self._serve, self._beat)]
        for thread in self.threads:
            thread.start()

    def post(self, path, body):
        """Call one control daemon after the other until one acknowledges the call."""
        for machine in list(self.controls):
            connection = http.client.HTTPConnection(machine.host, self.deployment.ports["control"], timeout=1.0)
            try:
                connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
                if connection.getresponse().status // 100 == 2:
                    return machine
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            self.controls.append(self.controls.pop(0))
        return None

    def beat(self):
        self.sequence += 1
        body = {
            "Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": self.zone, "Version": "v1",
            "Slots": 4, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born,
        }  # fmt: skip
        return self.post(f"/instances/{self.identity}/heartbeat", body)

    def _beat(self):
        while not self.stopped.is_set():
            self.beat()
            self.stopped.wait(BEAT_S)

    def _serve(self):
        while not self.stopped.is_set():
            if not select.select([self.sock], [], [], 0.2)[0]:
                continue
            datagram, _ = self.sock.recvfrom(65535)
            label = LABEL.unpack_from(datagram)[0]
            packet = Packet(datagram[LABEL.size :])
            if label in (0, self.label) and not packet.is_forged:
                self._receive(packet)

    def _receive(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            first = {"seq": random.getrandbits(32), "next": (packet.seq + 1) % SPACE, "sent": 0, "answer": b""}
            flow = self.flows.setdefault(key, first)
            return self._send(packet, flow["seq"], flow["next"], SYN | ACK)
        if packet.flags & RST:
            return self.flows.pop(key, None)
        if flow is None:
            return self._send(packet, 0, 0, RST)
        start = (flow["seq"] + 1 + flow["sent"]) % SPACE
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = (flow["next"] + len(packet.data)) % SPACE
            request_id = packet.data.split(b"X-Chervilstage-Request-Id: ")[1].split(b"\r\n")[0].decode()
            self.ran.append(request_id)
            self.record(f"target {self.identity} ran {request_id}")
            flow["sent"] += len(flow["answer"])
            start = (flow["seq"] + 1 + flow["sent"]) % SPACE
            body = f"{self.identity} {request_id}".encode()
            flow["answer"] = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if packet.data and flow["answer"]:
            self._send(packet, start, flow["next"], ACK, flow["answer"])
        if packet.flags & FIN:
            self._send(packet, (start + len(flow["answer"])) % SPACE, (packet.seq + 1) % SPACE, ACK | FIN)

    def _send(self, packet, seq, ack, flags, data=b""):
        """Answer the client directly, at its address and the port of the settings."""
        datagram = encode(packet.dst, packet.dport, packet.src, packet.sport, seq, ack, flags, packet.echo, data)
        self.sock.sendto(datagram, (str(IPv4Address(packet.src)), self.deployment.ports["datagram"]))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(5)
        self.sock.close()


class Client:
    """A client that opens a flow for each request; the fabric's router is a choice among the entries."""

    def __init__(self, deployment, host, route_host="127.250.0.1", route_port=8443):
        self.deployment, self.host = deployment, host
        self.route = (int(IPv4Address(route_host)), route_port)
        self.own = int(IPv4Address(host))
        self.sport = random.randint(20000, 40000)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, deployment.ports["datagram"]))

    def request(self, entry, request_id, deadline_s=2.5):
        """Send one request in a flow of its own; return "answered" or what happened instead."""
        result, flow = self.open(entry)
        if flow is None:
            return result
        result = self.ask(flow, request_id, deadline_s)
        if result == "answered":
            self._send(flow, ACK | FIN)
        return result

    def open(self, entry):
        """Open a flow through an entry; return what happened and the flow, None if it did not open."""
        self.sport += 1
        flow = Flow(entry, self.sport, random.getrandbits(32))
        began = time.monotonic()
        copies, answer = 0, None
        while answer is None:
            elapsed = time.monotonic() - began
            if elapsed > OPENING_S:
                return "no answer to the opening packet", None
            if copies < len(COPIES_S) and elapsed >= COPIES_S[copies]:
                flow.ack = copies
                self._send(flow, SYN)
                copies += 1
            answer = self._next(flow, 0.05)
            if answer is not None and answer.flags & RST:
                return "reset", None
        flow.seq = (flow.seq + 1) % SPACE
        flow.ack, flow.echo = (answer.seq + 1) % SPACE, answer.echo
        return "open", flow

    def ask(self, flow, request_id, deadline_s=2.5):
        """Send one request in an open flow; return "answered" or what happened instead."""
        text = f"GET / HTTP/1.1\r\nHost: alley\r\nX-Chervilstage-Request-Id: {request_id}\r\n\r\n".encode()
        began = time.monotonic()
        while time.monotonic() - began < deadline_s:
            self._send(flow, ACK, text)
            answer = self._next(flow, REPEAT_S)
            if answer is None or answer.flags & SYN:
                continue
            if answer.flags & RST:
                return "reset by the system" if answer.is_system_reset else "reset by the target"
            if request_id.encode() in answer.data:
                flow.seq = (flow.seq + len(text)) % SPACE
                flow.ack, flow.echo = (answer.seq + len(answer.data)) % SPACE, answer.echo
                self._send(flow, ACK)
                return "answered"
        return "no answer"

    def _next(self, flow, seconds):
        """Return the next packet for a flow, None after some time without one."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0 and select.select([self.sock], [], [], left)[0]:
            packet = Packet(self.sock.recvfrom(65535)[0])
            if packet.dport == flow.sport and (not packet.is_forged or packet.is_system_reset):
                return packet
        return None

    def _send(self, flow, flags, data=b""):
        host, port = self.route
        datagram = encode(self.own, flow.sport, host, port, flow.seq, flow.ack, flags, flow.echo, data)
        self.sock.sendto(datagram, (flow.entry.host, self.deployment.ports["datagram"]))

    def close(self):
        self.sock.close()


class Flow:
    """The client's end of a flow; seq and ack are those of its next packet."""

    def __init__(self, entry, sport, seq):
        self.entry, self.sport, self.seq, self.ack, self.echo = entry, sport, seq, 0, 0


class SilentConnection:
    """A connection to a control daemon that passes calls on, and no responses once it is silent."""

    def __init__(self, deployment, machine):
        self.listener = socket.create_server((f"{deployment.net}.230", 0))
        self.address = self.listener.getsockname()
        self.target = (machine.host, deployment.ports["control"])
        self.is_silent = False
        self.sockets = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        try:
            near, _ = self.listener.accept()
            far = socket.create_connection(self.target)
        except OSError:
            return
        self.sockets = [near, far]
        threading.Thread(target=self._pass, args=(near, far, False), daemon=True).start()
        self._pass(far, near, True)

    def _pass(self, source, sink, is_response):
        try:
            while data := source.recv(65536):
                if not (is_response and self.is_silent):
                    sink.sendall(data)
        except OSError:
            pass

    def close(self):
        for sock in [self.listener, *self.sockets]:
            sock.close()
