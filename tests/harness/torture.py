"""Runs concurrent callers and operators on a fleet of real processes while
several faults at a time are injected, then checks the recorded histories.

torture.py --seed N --seeds K --seconds S [--faults F]
"""

import argparse
import collections
import http.client
import json
import random
import signal
import sys
import threading
import time

from fleet import Fleet, Shape, http_json, wait_until
from history import History, check_all

PROMPT = "Please sum up clause {n}. "


def shape(first_port):
    """Returns a fleet for short runs: three zones, six hosts."""
    return Shape(
        {"north": 2, "south": 2, "west": 2},
        ("writer", {"north": 2, "south": 2, "west": 2}, "interactive"),
        ("desk", {"north": 1, "south": 1, "west": 1}, "/book", "/look"),
        {"alpha": (20000, 60000), "beta": (4000, 8000), "gamma": (500, 2000)},
        first_port,
        engine_options=["--step-us", "6000", "--step-us-per-request", "100",
                        "--prefill-us", "20", "--cold-ms", "3000"],
        service_options=["--takes-ms", "15", "--cold-ms", "3000"],
        service_settings="")


class Callers:
    """Threads that send each request to a random host, like a balancer."""

    def __init__(self, fleet, history, rng, deadline):
        self.fleet = fleet
        self.history = history
        self.deadline = deadline
        self.threads = []
        for number in range(12):
            seed = rng.random()
            kind = (self.run_bookings, self.run_completions,
                    self.run_completions)[number % 3]
            self.threads.append(threading.Thread(
                target=kind, args=(number, random.Random(seed)), daemon=True))

    def start(self):
        for thread in self.threads:
            thread.start()

    def join(self):
        for thread in self.threads:
            thread.join(90)

    def port(self, rng):
        return self.fleet.hosts[rng.choice(list(self.fleet.hosts))]["client"]

    def run_bookings(self, number, rng):
        """Sends each booking one, two or four times with the same id."""
        count = 0
        while time.monotonic() < self.deadline:
            count += 1
            booking_id = f"visit-{number}-{count}"
            for _ in range(rng.choice((1, 2, 4))):
                self.book_once(booking_id, rng)

    def book_once(self, booking_id, rng):
        account = rng.choice(list(self.fleet.keys))
        # All requests of a booking use the same account.
        account = sorted(self.fleet.keys)[
            hash(booking_id) % len(self.fleet.keys)]
        operation = self.history.begin("book", booking_id=booking_id,
                                       account=account)
        try:
            status, body = http_json(
                self.port(rng), "POST", "/book", {"id": booking_id},
                {"Authorization": f"Bearer {self.fleet.keys[account]}",
                 "Idempotency-Key": booking_id}, timeout=20)
        except (OSError, http.client.HTTPException) as error:
            self.history.end(operation, status=0, body=str(error))
            time.sleep(0.05)
            return
        self.history.end(operation, status=status, body=body)
        if status != 200:
            time.sleep(0.05)

    def run_completions(self, number, rng):
        count = 0
        while time.monotonic() < self.deadline:
            count += 1
            request_id = f"{number}-{count}"
            prompt = (f"caller {request_id}: " +
                      PROMPT.format(n=request_id) * rng.choice((1, 4, 60)))
            account = rng.choice(("alpha", "alpha", "beta", "gamma"))
            self.complete_once(prompt, account, rng)

    def complete_once(self, prompt, account, rng):
        tokens = rng.choice((8, 30, 60))
        operation = self.history.begin("complete", prompt=prompt,
                                       account=account, tokens=tokens)
        leave_early = rng.random() < 0.1
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.port(rng), timeout=30)
            connection.request(
                "POST", "/v1/completions",
                json.dumps({"model": "writer", "prompt": prompt,
                            "stream": True, "max_tokens": tokens}),
                {"Authorization": f"Bearer {self.fleet.keys[account]}"})
            response = connection.getresponse()
            if response.status != 200:
                body = json.loads(response.read() or b"{}")
                self.history.end(operation, status=response.status, body=body)
                time.sleep(0.03)
                return
            text, done, error = [], False, None
            for line in response:
                line = line.decode().strip()
                if line == "data: [DONE]":
                    done = True
                elif line.startswith("event: error"):
                    error = True
                elif line.startswith("data: ") and error is None:
                    text.append(json.loads(line[6:])["choices"][0]["text"])
                if leave_early and len(text) > 2:
                    connection.close()
                    self.history.end(operation, status=-1, body="left early")
                    return
            connection.close()
            self.history.end(operation, status=200, body="".join(text),
                             done=done)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.history.end(operation, status=0, body=str(error))
            time.sleep(0.05)


class Operators:
    """Threads that change the configuration and the keys concurrently."""

    def __init__(self, fleet, history, rng, deadline, base_text):
        self.fleet = fleet
        self.history = history
        self.deadline = deadline
        self.base_text = base_text
        self.threads = [
            threading.Thread(target=self.submit_configurations,
                             args=(number, random.Random(rng.random())),
                             daemon=True) for number in range(2)]
        self.threads.append(threading.Thread(
            target=self.run_key_changes, args=(random.Random(rng.random()),),
            daemon=True))

    def start(self):
        for thread in self.threads:
            thread.start()

    def join(self):
        for thread in self.threads:
            thread.join(120)

    def submit_configurations(self, number, rng):
        count = 0
        while time.monotonic() < self.deadline:
            count += 1
            text = self.base_text + f"# operator {number} change {count}\n"
            path = self.fleet.folder / f"op-{number}-{count}.ini"
            path.write_text(text)
            operation = self.history.begin("read")
            now, status = self.fleet.ctl("config", "show", check=False)
            if status != 0:
                self.history.end(operation, status=status)
                continue
            self.history.end(operation, status=0, version=now["version"])
            time.sleep(rng.random() * 0.1)
            operation = self.history.begin("submit", base=now["version"],
                                           text=text)
            reply, status = self.fleet.ctl(
                "config", "submit", str(path), "--base", str(now["version"]),
                "--wait-ms", "0", check=False)
            version = (reply.get("version")
                       if isinstance(reply, dict) and status == 0 else None)
            self.history.end(operation, status=status, version=version)
            time.sleep(rng.random() * 0.3)

    def run_key_changes(self, rng):
        """Issues keys, withdraws each, and keeps using it for a while."""
        while time.monotonic() < self.deadline:
            issued, status = self.fleet.ctl(
                "key", "issue", "alpha", "--wait-ms", "3000", check=False)
            if status != 0 or "key" not in issued:
                time.sleep(0.2)
                continue
            operation = self.history.begin("withdraw", key=issued["key_id"])
            reply, status = self.fleet.ctl(
                "key", "withdraw", issued["key_id"], "--wait-ms", "0",
                check=False)
            self.history.end(operation, status=status)
            stop = time.monotonic() + 3
            while status == 0 and time.monotonic() < stop:
                self.use_key(issued, rng)
                time.sleep(0.05)

    def use_key(self, issued, rng):
        host = rng.choice(list(self.fleet.hosts))
        operation = self.history.begin("use", key=issued["key_id"], host=host)
        try:
            status, _ = http_json(
                self.fleet.hosts[host]["client"], "GET", "/look", None,
                {"Authorization": f"Bearer {issued['key']}"}, timeout=5)
        except (OSError, http.client.HTTPException):
            status = 0
        self.history.end(operation, status=status)


class Faults:
    """Injects up to `at_once` faults at a time; each ends after a while."""

    def __init__(self, fleet, rng, deadline, at_once):
        self.fleet = fleet
        self.rng = rng
        self.deadline = deadline
        self.counts = collections.Counter()
        self.reserved_names = set()
        self.lock = threading.Lock()
        self.disk_repair_lock = threading.Lock()
        self.threads = [
            threading.Thread(target=self.run,
                             args=(random.Random(rng.random()),), daemon=True)
            for _ in range(at_once)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def join(self):
        for thread in self.threads:
            thread.join(120)

    def reserve(self, rng, names):
        """Reserves a target that no other fault uses; None if none is free."""
        with self.lock:
            free = [name for name in names if name not in self.reserved_names]
            if not free:
                return None
            chosen = rng.choice(free)
            self.reserved_names.add(chosen)
            return chosen

    def release(self, name):
        with self.lock:
            self.reserved_names.discard(name)

    def run(self, rng):
        kinds = (self.kill_host, self.kill_host, self.freeze_host,
                 self.partition_zone, self.lose_disk, self.kill_endpoint,
                 self.freeze_endpoint, self.stop_host,
                 self.take_zone_out_of_service, self.send_wrong_frames)
        while time.monotonic() < self.deadline - 2:
            rng.choice(kinds)(rng)
            time.sleep(rng.random() * 0.6)

    def kill_host(self, rng):
        name = self.reserve(rng, self.fleet.hosts)
        if name is None:
            return
        self.fleet.kill(name)
        self.fleet.wait_for_exit(name)
        time.sleep(rng.random() * 2)
        self.fleet.restart(name)
        self.counts["hosts killed"] += 1
        time.sleep(1)
        self.release(name)

    def stop_host(self, rng):
        name = self.reserve(rng, self.fleet.hosts)
        if name is None:
            return
        self.fleet.kill(name, signal.SIGTERM)
        status = self.fleet.wait_for_exit(name)
        self.counts["hosts stopped gracefully"] += 1
        self.counts["graceful stops that cut requests"] += 1 if status else 0
        self.fleet.restart(name)
        time.sleep(1)
        self.release(name)

    def freeze_host(self, rng):
        name = self.reserve(rng, self.fleet.hosts)
        if name is None:
            return
        self.fleet.kill(name, signal.SIGSTOP)
        time.sleep(0.2 + rng.random() * 4)
        self.fleet.kill(name, signal.SIGCONT)
        self.counts["hosts frozen"] += 1
        self.release(name)

    def partition_zone(self, rng):
        zone = rng.choice(list(self.fleet.shape.zones))
        name = self.reserve(rng, [f"zone {zone}"])
        if name is None:
            return
        self.fleet.partition_zone(zone, True)
        time.sleep(0.5 + rng.random() * 3)
        self.fleet.partition_zone(zone, False)
        self.counts["zones isolated"] += 1
        self.release(name)

    def lose_disk(self, rng):
        if not self.disk_repair_lock.acquire(blocking=False):
            return
        try:
            name = self.reserve(rng, self.fleet.control)
            if name is None:
                return
            self.fleet.kill(name)
            self.fleet.wait_for_exit(name)
            self.fleet.lose_disk(name)
            self.fleet.restart(name)
            self.counts["disks lost"] += 1
            for _ in range(20):
                time.sleep(0.5)
                if self.replace(name):
                    self.counts["disks replaced"] += 1
                    break
            self.release(name)
        finally:
            self.disk_repair_lock.release()

    def replace(self, name):
        peer = self.fleet.hosts[name]["peer"]
        return self.fleet.ctl("control", "replace", f"{name}@127.0.0.1:{peer}",
                              check=False)[1] == 0

    def kill_endpoint(self, rng):
        # Plain services count executions in memory, so they are not killed.
        name = self.reserve(rng, [name for name, item in
                               self.fleet.endpoints.items()
                               if item["kind"] == "model"])
        if name is None:
            return
        self.fleet.kill(name)
        self.fleet.wait_for_exit(name)
        time.sleep(rng.random())
        self.fleet.restart(name)
        self.counts["engines killed"] += 1
        time.sleep(1)
        self.release(name)

    def freeze_endpoint(self, rng):
        name = self.reserve(rng, self.fleet.endpoints)
        if name is None:
            return
        self.fleet.kill(name, signal.SIGSTOP)
        time.sleep(0.2 + rng.random() * 2)
        self.fleet.kill(name, signal.SIGCONT)
        self.counts["endpoints frozen"] += 1
        self.release(name)

    def take_zone_out_of_service(self, rng):
        zone = rng.choice(list(self.fleet.shape.zones))
        name = self.reserve(rng, [f"zone {zone}"])
        if name is None:
            return
        self.fleet.ctl("zone", "out", zone, "--wait-ms", "0", check=False)
        time.sleep(1 + rng.random())
        while self.fleet.ctl("zone", "in", zone, "--wait-ms", "0",
                             check=False)[1] == 3:
            time.sleep(0.2)
        self.counts["zones taken out of service"] += 1
        self.release(name)

    def send_wrong_frames(self, rng):
        name = rng.choice([name for name, item in self.fleet.endpoints.items()
                           if item["kind"] == "model"])
        try:
            http_json(self.fleet.endpoints[name]["port"], "POST", "/fault",
                      {"kind": "cross", "count": 20}, timeout=2)
            self.counts["engines sending wrong frames"] += 1
        except (OSError, http.client.HTTPException):
            pass


def restart_overloaded(fleet, deadline, overloaded, faults):
    """Restarts endpoints that ended from overload, and records them."""
    while time.monotonic() < deadline:
        for name in list(fleet.endpoints):
            process = fleet.processes[name]
            if process.poll() == 9 and name not in faults.reserved_names:
                overloaded.append(name)
                fleet.restart(name)
        time.sleep(0.2)


def run(seed, seconds, at_once, first_port):
    rng = random.Random(seed)
    history = History()
    fleet = Fleet(shape(first_port), torture=True)
    problems = []
    try:
        fleet.start()
        deadline = time.monotonic() + seconds
        base_text = fleet.configuration()
        callers = Callers(fleet, history, rng, deadline)
        operators = Operators(fleet, history, rng, deadline, base_text)
        faults = Faults(fleet, rng, deadline, at_once)
        overloaded = []
        restarter = threading.Thread(
            target=restart_overloaded,
            args=(fleet, deadline, overloaded, faults),
            daemon=True)
        for part in (callers, operators, faults, restarter):
            part.start()
        for part in (callers, operators, faults, restarter):
            part.join()
        for name in fleet.hosts:
            if fleet.processes[name].poll() is not None:
                problems.append(f"{name} ended by itself with "
                                f"{fleet.processes[name].returncode}")
        if problems:
            raise RuntimeError("; ".join(problems))
        wait_until(lambda: fleet.ctl("status", check=False)[1] == 0,
                   "a leader after the run")
        final, _ = fleet.ctl("config", "show")
        try:
            wait_until(lambda: fleet.count_held_requests() == 0,
                       "engines to release all memory", 30)
        except TimeoutError:
            problems.append(f"engine memory is still held: "
                            f"{fleet.endpoint_stats()}")
        stats = fleet.endpoint_stats()
        status = fleet.status()
        problems += check_all(history, fleet, stats, status, final, overloaded)
        counts = dict(faults.counts)
    finally:
        for name in fleet.hosts:
            log = (fleet.folder / f"{name}.log").read_text(errors="replace")
            for line in log.splitlines():
                if "invariant_broken" in line or "terminate called" in line:
                    problems.append(f"{name}: {line}")
        fleet.keep_folder = fleet.keep_folder or bool(problems)
        fleet.stop()
    print(f"seed {seed}: operations {history.summary()}")
    print(f"  faults {counts}, endpoints overloaded in cold start: "
          f"{len(overloaded)}")
    for problem in problems:
        print(f"  BROKEN {problem}")
    if problems:
        print(f"  logs are in {fleet.folder}")
    return not problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument("--first-port", type=int, default=23000)
    given = parser.parse_args()
    failed = 0
    for seed in range(given.seed, given.seed + given.seeds):
        try:
            passed = run(seed, given.seconds, given.faults, given.first_port)
        except Exception as error:  # A run that raises fails.
            print(f"seed {seed}: BROKEN {type(error).__name__}: {error}")
            passed = False
        failed += not passed
        sys.stdout.flush()
    print(f"{given.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
