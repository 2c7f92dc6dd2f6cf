"""Fakes of the users' platform on loopback: endpoints, their list, callers.

They implement the platform's published formats and record what they received,
so that tests can check it. They are not part of the product.
"""

import asyncio
import json
import random
import time

CRLF = b"\r\n"

# Largest head of a message that a fake reads: above any limit of a test.
MAX_HEAD_BYTES = 4 * 1024 * 1024


async def read_message(reader):
    """Reads one HTTP/1.1 message: start line, headers (lower case), body.

    A message without a length has an empty body here. Raises
    asyncio.IncompleteReadError when the stream ends before the message does.
    """
    head = await reader.readuntil(CRLF + CRLF)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(CRLF)).strip() or b"0", 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def format_message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + CRLF + CRLF + body


def unix_ms():
    return int(time.time() * 1000)


class NamedLimit:
    """The requests per second that an endpoint names, and what it receives
    while it does so."""

    def __init__(self, endpoint_name, rate):
        self.endpoint_name = endpoint_name
        self.rate = rate
        self.arrivals = []      # (time, attempt) of each caller's request.


class AnswerWriter:
    """Writes the answers on one connection. A faulty endpoint writes the copy
    of a refusal right before the next answer."""

    def __init__(self, writer):
        self.writer = writer
        self.copy = b""

    def write(self, data):
        self.writer.write(self.copy + data)
        self.copy = b""

    async def drain(self):
        await self.writer.drain()

    def close(self):
        self.writer.close()


class Endpoint:
    """An endpoint of a plain service or an engine of either stage."""

    def __init__(self, name, service, stage=None, slots=8, seed=0):
        self.name = name
        self.service = service
        self.stage = stage
        self.slots = slots
        self.random = random.Random(seed)
        self.running = 0
        self.started_runs = []  # (attempt, tenant) of each run.
        self.handles = set()
        self.orders = []        # (time, holder, fence) of each order.
        self.sequence = 0
        self.busy = False
        self.open_writers = set()
        self.error_probability = 0.0
        self.leaving = False
        self.turning_away_until = 0.0
        self.notices = []       # (time, attempt, stay_away_s or None).
        self.arrivals = []      # (time, attempt) of each caller's request.
        self.repeats_refusals = None   # "unnamed", "named": which copy.
        self.limit = None       # The limit that it names now.
        self.limits = []        # All limits that it has named.
        self.queue_slots = 0    # Requests that wait for a slot.
        self.queued = 0
        self.work_s = (0.002, 0.03)   # Range of the duration of a plain call.
        self.version = "v1"
        self.born = unix_ms()
        self.listed_process = None    # (born, version, until): listed instead.
        self.failing_paths = ()       # Requests below these fail.
        self.fails_from = 0.0         # Time from which they do.
        self.bad_answers = []         # Times of failures by this switch.
        self.kv_sources = []          # Kv-Source of each decode call.
        self.server = None
        self.port = 0

    def is_failing(self, target):
        return (self.failing_paths and time.monotonic() >= self.fails_from
                and target.startswith(self.failing_paths))

    def begin_limit(self, rate):
        self.limit = NamedLimit(self.name, rate)
        self.limits.append(self.limit)
        return self.limit

    def become(self, name):
        """Turns into another incarnation, which names no limit."""
        self.name = name
        self.limit = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve_connection, "127.0.0.1", self.port,
            limit=MAX_HEAD_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self, down_s, name, version=None):
        """Ends like a process, and starts again at the same address, perhaps
        with another version of its software. The list lags."""
        self.server.close()
        self.reset_connections()
        self.handles.clear()
        await asyncio.sleep(down_s)
        self.become(name)
        self.listed_process = (self.born, self.version,
                               time.monotonic() + LIST_LAG_S)
        self.born = unix_ms()
        self.version = version or self.version
        self.sequence = 0
        await self.start()

    async def wait_for_slot(self, headers):
        """Waits in the queue; returns whether a slot came before the deadline.
        It stays there when its caller leaves."""
        until = time.monotonic() + int(headers.get("deadline-ms", 0)) / 1000
        self.queued += 1
        while self.running >= self.slots and time.monotonic() < until:
            await asyncio.sleep(0.005)
        self.queued -= 1
        return self.running < self.slots and time.monotonic() < until

    async def serve_connection(self, reader, writer):
        self.open_writers.add(writer)
        answers = AnswerWriter(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                keep = await self.handle_request(start, headers, body, answers)
                await writer.drain()
                if not keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    def handle_order(self, order):
        self.orders.append((time.monotonic(), order["holder"],
                            order["fence"]))
        if self.busy or order.get("expect", self.sequence) != self.sequence:
            return "HTTP/1.1 409 Conflict"
        if order["stage"] == self.stage:
            return "HTTP/1.1 200 OK"
        self.sequence += 1
        self.busy = True
        self.change = asyncio.create_task(self.change_stage(order["stage"]))
        return "HTTP/1.1 202 Accepted"

    async def change_stage(self, stage):
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(STAGE_CHANGE_S)
        self.stage = stage
        self.busy = False

    async def handle_request(self, start, headers, body, writer):
        method, target, _ = start.split(" ", 2)
        if method == "DELETE" and target.startswith("/kv-handle/"):
            self.handles.discard(target.rsplit("/", 1)[1])
            writer.write(format_message("HTTP/1.1 200 OK", {}))
            return True
        if target == "/report":
            writer.write(format_message("HTTP/1.1 200 OK", {}, json.dumps({
                "stage": self.stage, "busy": self.busy, "models": [],
                "sequence": self.sequence, "born": self.born}).encode()))
            return True
        if target == "/order":
            writer.write(format_message(
                self.handle_order(json.loads(body)), {}))
            return True
        headers["target"] = target
        attempt = headers.get("attempt-id", "")
        base = {"Attempt-Id": attempt}
        if headers.get("expect-instance", self.name) != self.name:
            return await self.refuse("421 Misdirected Request", base, writer)
        now = time.monotonic()
        self.arrivals.append((now, attempt))
        if self.limit:
            base["Server-Limit"] = f"{self.limit.rate:g}"
            self.limit.arrivals.append((now, attempt))
        if self.leaving:
            base["Server-Leaving"] = "1"
            self.notices.append((now, attempt, None))
        left_s = self.turning_away_until - now
        is_full = self.running >= self.slots
        if is_full and left_s <= 0 and self.queued < self.queue_slots:
            is_full = not await self.wait_for_slot(headers)
        if self.busy or is_full or left_s > 0:
            refusal = {**base, "Not-Run": "1"}
            if left_s > 0:
                refusal["Retry-After"] = f"{left_s:.3f}"
                self.notices.append((now, attempt, left_s))
            return await self.refuse("503 Service Unavailable", refusal,
                                     writer)
        self.running += 1
        try:
            return await self.run(headers, base, attempt, writer)
        finally:
            self.running -= 1

    async def refuse(self, status, headers, writer):
        """Refuses a request. A faulty endpoint writes the refusal once more:
        soon after it and without the id, or with the id where the next answer
        is expected."""
        answer = format_message("HTTP/1.1 " + status, headers)
        writer.write(answer)
        if self.repeats_refusals == "named":
            writer.copy = answer
        elif self.repeats_refusals == "unnamed":
            unnamed = {name: value for name, value in headers.items()
                       if name != "Attempt-Id"}
            await writer.drain()
            await asyncio.sleep(0.01)
            writer.write(format_message("HTTP/1.1 " + status, unnamed))
        return True

    async def run(self, headers, base, attempt, writer):
        wrong_stage = (self.stage is not None and
                       (self.stage == "prefill") !=
                       (headers.get("stage") == "prefill"))
        if wrong_stage:
            return await self.refuse("421 Misdirected Request", base, writer)
        if self.stage == "prefill":
            await asyncio.sleep(0.005)
            handle = f"{self.random.getrandbits(48):012x}"
            self.handles.add(handle)
            body = json.dumps({"kvHandle": handle, "tokens": 100,
                               "version": 1}).encode()
            writer.write(format_message("HTTP/1.1 200 OK", base, body))
            return True
        self.started_runs.append((attempt, headers.get("tenant", "")))
        stamped = {**base, "Server-Stamp": f"{self.name}.{attempt}"}
        if self.stage == "decode":
            self.kv_sources.append(headers.get("kv-source", ""))
        if self.is_failing(headers["target"]):
            await asyncio.sleep(self.work_s[0])
            self.bad_answers.append(time.monotonic())
            writer.write(format_message("HTTP/1.1 500 Error", stamped,
                                        b"failed"))
            return True
        if self.stage is None:
            await asyncio.sleep(self.random.uniform(*self.work_s))
            if self.random.random() < self.error_probability:
                writer.write(format_message("HTTP/1.1 500 Error", stamped,
                                            b"failed"))
                return True
            writer.write(format_message("HTTP/1.1 200 OK", stamped,
                                        f"done {attempt}".encode()))
            return True
        lines = [f"{name}: {value}" for name, value in stamped.items()]
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"] + lines
        writer.write("\r\n".join(head).encode() + CRLF + CRLF)
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, STREAM_EVENTS + 1):
            event = (f"id: {number}\nevent: {self.version}\n"
                     f"data: {attempt}\n\n").encode()
            writer.write(f"{len(event):x}".encode() + CRLF + event + CRLF)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0" + CRLF + CRLF)
        return True

    def reset_connections(self):
        for writer in list(self.open_writers):
            writer.transport.abort()


STREAM_EVENTS = 20
LIST_LAG_S = 0.8
STAGE_CHANGE_S = 0.5


class Link:
    """A loopback proxy in front of an endpoint that can disturb the traffic.

    mode: "pass", "delay", "silent" (drops both directions), "one_way" (drops
    responses), "refuse" (resets new connections).
    """

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.mode = "pass"
        self.pairs = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(
            self.serve_connection, "127.0.0.1", 0,
            limit=MAX_HEAD_BYTES)
        self.port = server.sockets[0].getsockname()[1]

    async def serve_connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.endpoint.port, limit=MAX_HEAD_BYTES)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, to_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self.forward(reader, to_writer, ("silent",)),
                self.forward(to_reader, writer, ("silent", "one_way")))
        except asyncio.CancelledError:
            pass    # The test ends.
        self.pairs.discard(pair)

    async def forward(self, reader, writer, dropped_in):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                if self.mode in dropped_in:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

    def reset(self):
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()


class EndpointList:
    """The platform's list of endpoints, served in pages of three."""

    def __init__(self, links):
        self.links = links
        self.leaving = set()
        self.former = {}   # Names that addresses had before, with their links.
        self.foreign = None  # Draws entries of another writer, cut off.
        self.port = 0
        self.calls = 0

    async def start(self):
        server = await asyncio.start_server(
            self.serve_connection, "127.0.0.1", 0,
            limit=MAX_HEAD_BYTES)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, link):
        return self.named_entry(link.endpoint.name, link)

    def named_entry(self, name, link):
        endpoint = link.endpoint
        born, version = endpoint.born, endpoint.version
        former = endpoint.listed_process
        if former and time.monotonic() < former[2]:
            born, version = former[:2]
        out = {"id": name, "service": endpoint.service,
               "address": f"127.0.0.1:{link.port}", "zone": "zone-a",
               "version": version, "slots": endpoint.slots, "coldLeftMs": 0,
               "state": "draining" if name in self.leaving
               else "ready", "born": born}
        if endpoint.stage:
            out["stage"] = endpoint.stage
        return out

    def add_foreign(self, entries):
        """Adds entries that another writer has not written to their end."""
        whole = json.dumps({"id": "i-foreign", "service": "desk", "tags":
                            ["a", "},{", {"b": "\\"}], "state": "ready"})
        for _ in range(self.foreign.randrange(3)):
            entries.insert(self.foreign.randrange(len(entries) + 1),
                           whole[:self.foreign.randrange(len(whole))])

    async def serve_connection(self, reader, writer):
        try:
            while True:
                start, _, _ = await read_message(reader)
                self.calls += 1
                target = start.split(" ")[1]
                page = int(target.split("pageToken=")[1]) \
                    if "pageToken=" in target else 0
                listed = [*(self.named_entry(name, link)
                            for name, link in self.former.items()),
                          *(self.entry(link) for link in self.links)]
                part = listed[page:page + 3]
                more = page + 3 < len(listed)
                entries = [json.dumps(entry) for entry in
                           [*part, {"id": 5, "state": "unknown"}]]
                if self.foreign:
                    self.add_foreign(entries)
                body = (f'{{"instances": [{", ".join(entries)}], "next": '
                        f'{json.dumps(str(page + 3) if more else None)}}}'
                        ).encode()
                writer.write(format_message("HTTP/1.1 200 OK", {}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Caller:
    """A caller with one connection, which is kept until it fails."""

    def __init__(self, address):
        self.ip, port = address.split(":")
        self.port = int(port)
        self.reader = None
        self.writer = None

    async def call(self, method, target, headers, body=b"", timeout=3.0):
        """Returns (status, headers, body, complete); status 0: no response."""
        try:
            return await asyncio.wait_for(
                self.exchange(method, target, headers, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            return 0, {}, b"", False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}, b"", False

    async def exchange(self, method, target, headers, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.ip, self.port, limit=MAX_HEAD_BYTES)
        self.writer.write(format_message(f"{method} {target} HTTP/1.1",
                                         headers, body))
        await self.writer.drain()
        start, got, content = await read_message(self.reader)
        if got.get("connection", "").lower() == "close":
            self.close()
        return int(start.split(" ")[1]), got, content, True

    async def stream(self, target, headers, body=b"", timeout=3.0):
        """Returns (status, headers, events, complete), with the whole events
        that arrived before the stream ended or broke; status 0: no response."""
        out = [0, {}, [], False]
        try:
            await asyncio.wait_for(
                self.read_stream(target, headers, body, out), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError,
                ValueError):
            self.close()
        return tuple(out)

    async def read_stream(self, target, headers, body, out):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.ip, self.port, limit=MAX_HEAD_BYTES)
        self.writer.write(format_message(f"POST {target} HTTP/1.1", headers,
                                         body))
        await self.writer.drain()
        head = (await self.reader.readuntil(CRLF + CRLF)).decode("latin-1")
        lines = head.split("\r\n")
        out[0] = int(lines[0].split(" ")[1])
        out[1] = {name.strip().lower(): value.strip() for name, value in (
            line.split(":", 1) for line in lines[1:] if ":" in line)}
        if out[1].get("transfer-encoding", "").lower() != "chunked":
            await self.reader.readexactly(int(out[1]["content-length"]))
            out[3] = True
        pending = b""
        while not out[3]:
            size = int((await self.reader.readuntil(CRLF)).strip() or b"0", 16)
            pending += (await self.reader.readexactly(size + 2))[:-2]
            *whole, pending = pending.split(b"\n\n")
            out[2] += whole
            out[3] = size == 0
        if out[1].get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None
