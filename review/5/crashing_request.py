"""A stream that crashes each decode engine which begins it is never refused,
when the engines start again under their earlier ids.

Two prefill and three decode engines serve sound streams. One stream crashes each
decode engine at its first event; the engine is back after two seconds, with the
id that it had and another start time. The caller sends that stream again and
again.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import case  # noqa: E402

DOWN_S = 2.0
PLAY_S = 60.0
RETRY_INTERVAL_S = 3.0
MAX_RETRIES = 3
SHARED_PART = "5c1e07a2"
DEADLY_BODY = b"deadly"


class Engine(case.fakes.Endpoint):
    """An engine that one request crashes when it begins to run there."""

    def __init__(self, play, name, stage, zone, seed):
        super().__init__(name, "llm", stage, 16, seed)
        self.play = play
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.is_down = False

    async def handle_request(self, start, headers, body, writer):
        self.deadly = body == DEADLY_BODY
        if self.deadly:
            self.play.note_arrival(self, headers)
        if not self.deadly or self.stage == "prefill" or not self.play.trouble:
            return await super().handle_request(start, headers, body, writer)
        if headers.get("expect-instance", self.name) != self.name:
            return await super().handle_request(start, headers, body, writer)
        attempt = headers["attempt-id"]
        event = f"id: 1\ndata: {attempt}\n\n".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nAttempt-Id: " + attempt.encode() +
            b"\r\nServer-Stamp: " + f"{self.name}.{attempt}".encode() +
            b"\r\n\r\n" + f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
        self.crash(attempt)
        return False

    def crash(self, attempt):
        if self.is_down:
            return
        self.is_down = True
        self.play.note_crash(self, attempt)
        self.server.close()
        self.reset_connections()
        self.handles.clear()
        self.restart = asyncio.create_task(self.start_again())

    async def start_again(self):
        await asyncio.sleep(DOWN_S)
        self.server = await asyncio.start_server(
            self.serve_connection, "127.0.0.1", self.port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_down = False


class CrashingRequest(case.Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.endpoints = [
            Engine(self, f"i-read{at}", "prefill", self.zones[at], at)
            for at in range(2)] + [
            Engine(self, f"i-dec{at}", "decode", self.zones[at], 10 + at)
            for at in range(3)]
        self.arrivals = []  # (time, attempt) at an engine
        self.crashes = []
        self.served = 0

    def configuration(self):
        return case.json.dumps({
            "version": 1,
            "routes": [{"name": "r-note", "host": "a.example",
                        "pathPrefix": "/note/", "kind": "stream",
                        "timeoutMs": 14000, "targetLatencyMs": 900,
                        "gapAimMs": 300, "priority": 1, "service": "llm",
                        "maxAttempts": 1, "public": True, "sticky": True,
                        "resumable": False}],
            "services": [{"name": "llm", "healthPath": "/health",
                          "maxConns": 180, "protocol": "h1", "tls": False,
                          "coldStartS": 3.0, "coldPerS": 39.0,
                          "engine": {"slots": 16, "kvCapTokens": 75527,
                                     "kvTokenBytes": 163840,
                                     "linkMbps": 8000000.0, "stride": 5,
                                     "kvHoldS": 0.5, "roleSwitchS": 6.0}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": []}).encode()

    def note_arrival(self, engine, headers):
        attempt = headers.get("attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        self.record.add("crashing_request_arrived", endpoint=engine.name,
                        attempt=attempt, stage=headers.get("stage", "decode"))

    def note_crash(self, engine, attempt):
        self.crashes.append(time.monotonic())
        self.record.add("endpoint_crashed", endpoint=engine.name,
                        attempt=attempt, born=engine.born)

    async def call_stream(self, host, body, own_part):
        _, status, _, _, complete = await self.call(
            host, "POST", "/note/x",
            {"Deadline-Ms": "14000", "Token-Counts": "5200,70", "Model": "m",
             "Prompt-Prefix": f"{SHARED_PART}:200,{own_part}:5000"},
            body, 14.0)
        return status == 200 and complete

    async def run_sound_caller(self, number):
        while self.running:
            host = self.entries[number % len(self.entries)]
            sound = await self.call_stream(
                host, b"sound %d" % self.attempts,
                f"91bd{self.attempts:04x}")
            self.served += 1 if sound else 0
            number += 1
            await asyncio.sleep(0.3)

    async def play(self):
        callers = [asyncio.create_task(self.run_sound_caller(at))
                   for at in range(4)]
        await asyncio.sleep(3)
        until = time.monotonic() + PLAY_S
        number = 0
        while time.monotonic() < until:
            await self.call_stream(self.entries[number % len(self.entries)],
                                   DEADLY_BODY, "e4402b7d")
            number += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
        self.running = False
        await asyncio.gather(*callers)
        self.check_processes()
        late = set()
        if len(self.crashes) >= 3:
            bound = self.crashes[2] + case.STABLE_WINDOW_S
            late = {attempt for at, attempt in self.arrivals if at > bound}
        print(f"{number} sends, {len(self.crashes)} crashes, {self.served} "
              f"sound streams served; {len(late)} retries reached engines "
              f"later than {case.STABLE_WINDOW_S:.0f} s after the third crash")
        if self.served == 0:
            raise case.NotRun("no sound stream was served")
        return len(late) > MAX_RETRIES


if __name__ == "__main__":
    case.main(CrashingRequest(pathlib.Path(__file__).resolve().parent))
