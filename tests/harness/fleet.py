"""Starts a fleet of real processes on loopback, with fake endpoints."""

import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("POPLARROUTE_BUILD", ROOT / "build"))
START_TIMEOUT_S = 30


def http_json(port, method, path, body=None, headers=None, timeout=30):
    """Sends a request; returns the status and the body, parsed if JSON."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


def wait_until(condition, what, timeout=START_TIMEOUT_S):
    """Waits until a condition holds; raises TimeoutError with `what` if it
    does not hold in time."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"timed out waiting for {what}")


class Shape:
    """Describes a fleet: hosts, services, accounts and options."""

    def __init__(self, zones, model, plain, accounts, first_port, **more):
        self.zones = zones  # zone name -> number of hosts
        self.model = model  # (name, {zone: engines}, callers)
        self.plain = plain  # (name, {zone: endpoints}, changes, reads)
        self.accounts = accounts  # name -> (rate, burst)
        self.first_port = first_port
        self.engine_options = more.get("engine_options", [])
        self.service_options = more.get("service_options", [])
        # Memory pieces of an engine, concurrent calls of a plain endpoint.
        self.capacity = more.get("capacity", 80)
        self.calls = more.get("calls", 16)
        self.policy = more.get("policy", "reserve_first")
        self.control = more.get("control", 3)  # members of the group
        self.configuration = more.get("configuration", "")
        self.service_settings = more.get("service_settings", "")


def association(first_port=20000, **more):
    """Returns the Association's present fleet."""
    return Shape(
        {"galway-a": 2, "limerick-b": 2, "sligo-c": 2, "ennis-d": 2},
        ("loom-assist",
         {"galway-a": 3, "limerick-b": 2, "sligo-c": 2, "ennis-d": 2},
         "batch"),
        ("counter-desk",
         {"galway-a": 1, "limerick-b": 1, "sligo-c": 1, "ennis-d": 1},
         "/fittings", "/orders"),
        {"harbour-workshops": (40000, 400000),
         "west-workshops": (20000, 200000),
         "shop-counters": (8000, 80000),
         "island-makers": (4000, 40000),
         "apprentices": (4000, 40000)},
        first_port, **more)


def chequeleaf(first_port=21000, **more):
    """Returns Chequeleaf's present fleet."""
    return Shape(
        {"kochi": 2, "thrissur": 2, "kozhikode": 2},
        ("note-writer", {"kochi": 4, "thrissur": 4, "kozhikode": 3}, "batch"),
        ("reorder-desk", {"kochi": 1, "thrissur": 1, "kozhikode": 1},
         "/print-orders", "/order-status"),
        {"malabar-cooperative": (40000, 400000),
         "cochin-cooperative": (30000, 300000),
         "hill-branches": (6000, 60000),
         "coast-branches": (6000, 60000),
         "audit-office": (3000, 40000)},
        first_port, **more)


class Fleet:
    """A running fleet. Only processes that it started get signals."""

    def __init__(self, shape, tls=False, torture=False, keep_folder=False,
                 platform_port=0):
        self.shape = shape
        self.platform_port = platform_port
        self.tls = tls
        self.torture = torture
        self.keep_folder = keep_folder
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="poplarroute-"))
        self.processes = {}
        self.commands = {}
        self.hosts = {}
        self.endpoints = {}
        self.keys = {}
        self._assign_ports()

    def _assign_ports(self):
        port = self.shape.first_port
        for zone, count in self.shape.zones.items():
            for number in range(1, count + 1):
                self.hosts[f"{zone}-{number}"] = {
                    "zone": zone, "client": port, "peer": port + 1,
                    "admin": port + 2}
                port += 3
        for kind, service in (("model", self.shape.model),
                              ("plain", self.shape.plain)):
            if service is None:
                continue
            for zone, count in service[1].items():
                for number in range(1, count + 1):
                    name = f"{service[0]}-{zone}-{number}"
                    self.endpoints[name] = {
                        "zone": zone, "port": port, "kind": kind}
                    port += 1
        # Spreads the members of the control group over the zones.
        order = sorted(self.hosts, key=lambda name: (name[-1], name))
        self.control = order[:self.shape.control]

    def _write_settings(self, name):
        host = self.hosts[name]
        text = [
            "[host]", f"name = {name}",
            f"availability_zone = {host['zone']}",
            f"client_listen = 127.0.0.1:{host['client']}",
            f"peer_listen = 127.0.0.1:{host['peer']}",
            f"admin_listen = 127.0.0.1:{host['admin']}",
            f"policy = {self.shape.policy}",
            f"torture = {'yes' if self.torture else 'no'}"]
        if name in self.control:
            text.append(f"data_folder = {self.folder}/{name}-data")
        for seed, other in self.hosts.items():
            text += [f"[seed {seed}]", f"peer = 127.0.0.1:{other['peer']}",
                     f"control = {'yes' if seed in self.control else 'no'}"]
        if self.platform_port:
            text += ["[platform]",
                     f"list = 127.0.0.1:{self.platform_port}",
                     "lag_ms = 3000"]
        if self.tls:
            text += ["[tls]", "mode = mutual",
                     f"authority = {self.folder}/tls/authority.pem",
                     f"certificate = {self.folder}/tls/{name}.pem",
                     f"key = {self.folder}/tls/{name}.key"]
        else:
            text += ["[tls]", "mode = plain"]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(text) + "\n")
        return path

    def configuration(self):
        """Returns the configuration that the questionnaire generates."""
        shape = self.shape
        lines = ["[organisation]", "name = Trial", "region = loopback"]
        for zone in shape.zones:
            hosts = [f"{name}@127.0.0.1:{host['peer']}"
                     for name, host in self.hosts.items()
                     if host["zone"] == zone]
            lines += [f"[availability_zone {zone}]",
                      f"hosts = {', '.join(hosts)}"]
        for name, (rate, burst) in shape.accounts.items():
            lines += [f"[account {name}]", f"rate = {rate}",
                      f"burst = {burst}"]
        for kind, service in (("model", shape.model), ("plain", shape.plain)):
            if service is None:
                continue
            lines += [f"[service {service[0]}]", f"kind = {kind}"]
            if kind == "model":
                lines += [f"capacity = {shape.capacity}",
                          f"callers = {service[2]}"]
            else:
                lines += [f"capacity = {shape.calls}",
                          f"changes = {service[2]}", f"reads = {service[3]}"]
            for zone in service[1]:
                ports = [f"127.0.0.1:{item['port']}"
                         for name, item in self.endpoints.items()
                         if item["zone"] == zone and item["kind"] == kind]
                lines.append(f"in.{zone} = {', '.join(ports)}")
        answers = self.folder / "answers.ini"
        answers.write_text("\n".join(lines) + "\n")
        generated = subprocess.run(
            [BUILD / "main" / "poplarctl", "team", "--answers", answers],
            check=True, capture_output=True, text=True).stdout
        return generated + self.shape.configuration

    def start_process(self, name, command):
        """Starts a process with its own log file."""
        self.commands[name] = command
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()

    def start_host(self, name):
        self.start_process(
            name, [BUILD / "main" / "poplarroute", "--settings",
                   self._write_settings(name)])

    def start_endpoint(self, name):
        item = self.endpoints[name]
        program = "fake_engine" if item["kind"] == "model" else "fake_service"
        options = (self.shape.engine_options if item["kind"] == "model"
                   else self.shape.service_options)
        if item["kind"] == "model":
            options = ["--pieces", str(self.shape.capacity)] + options
        self.start_process(
            name, [BUILD / "tests" / program, "--listen",
                   f"127.0.0.1:{item['port']}"] + options)

    def ctl(self, *arguments, check=True, hosts=None):
        """Runs poplarctl; returns its JSON and its exit status."""
        names = hosts or list(self.hosts)
        addresses = ",".join(
            f"127.0.0.1:{self.hosts[name]['peer']}" for name in names)
        command = [BUILD / "main" / "poplarctl", "--json", "--hosts",
                   addresses]
        if self.tls:
            command += ["--certificates", self.folder / "tls"]
        completed = subprocess.run(
            [str(part) for part in command + list(arguments)],
            capture_output=True, text=True, timeout=120)
        if check and completed.returncode != 0:
            raise RuntimeError(
                f"poplarctl {arguments}: {completed.returncode} "
                f"{completed.stdout} {completed.stderr}")
        try:
            return json.loads(completed.stdout), completed.returncode
        except ValueError:
            return completed.stdout, completed.returncode

    def start(self, issue_keys=True):
        """Starts all processes and waits until the fleet serves requests."""
        if self.tls:
            subprocess.run(
                [BUILD / "main" / "poplarctl", "certificates",
                 self.folder / "tls"] + list(self.hosts), check=True,
                stdout=subprocess.DEVNULL)
        for name in self.endpoints:
            self.start_endpoint(name)
        for name in self.hosts:
            self.start_host(name)
        for name, host in self.hosts.items():
            wait_until(
                lambda: http_json(host["admin"], "GET", "/live")[0] == 200,
                f"{name} to be live")
        self.ctl("init", *[f"{name}@127.0.0.1:{self.hosts[name]['peer']}"
                           for name in self.control])
        path = self.folder / "fleet.ini"
        path.write_text(self.configuration())
        wait_until(lambda: self.ctl("status", check=False)[1] == 0, "a leader")
        self.ctl("config", "submit", str(path), "--base", "0")
        if issue_keys:
            for account in self.shape.accounts:
                issued, _ = self.ctl("key", "issue", account, "--wait-ms", "0")
                self.keys[account] = issued["key"]
        for name in self.hosts:
            self.wait_ready(name)
        wait_until(self.pools_usable, "all endpoints to be usable")

    def wait_ready(self, name):
        wait_until(
            lambda: http_json(
                self.hosts[name]["admin"], "GET", "/ready")[0] == 200,
            f"{name} to be ready")

    def pools_usable(self):
        """Returns whether every endpoint is usable at its owner."""
        usable = set()
        for host in self.status()["hosts"]:
            for pool in host.get("pools", []):
                usable |= {item["name"] for item in pool["endpoints"]
                           if item["usable"]}
        return usable == set(self.endpoints)

    def status(self):
        return self.ctl("status", check=False)[0]

    def kill(self, name, signal_number=signal.SIGKILL):
        """Sends a signal to a process of this fleet."""
        self.processes[name].send_signal(signal_number)

    def wait_for_exit(self, name, timeout=60):
        return self.processes[name].wait(timeout)

    def restart(self, name):
        if name in self.hosts:
            self.start_host(name)
        else:
            self.start_endpoint(name)

    def lose_disk(self, name):
        shutil.rmtree(self.folder / f"{name}-data", ignore_errors=True)

    def partition_zone(self, zone, blocked):
        """Blocks traffic between a zone and all others, or unblocks it."""
        inside = [name for name in self.hosts
                  if self.hosts[name]["zone"] == zone]
        outside = [name for name in self.hosts if name not in inside]
        self.set_blocked(inside, outside, blocked)

    def set_blocked(self, first_side, second_side, blocked):
        program = BUILD / "tests" / "cut_link"
        for callers, callees in ((first_side, second_side),
                                 (second_side, first_side)):
            for name in callers:
                if self.processes[name].poll() is not None:
                    continue
                subprocess.run(
                    [program, f"127.0.0.1:{self.hosts[name]['peer']}",
                     "cut" if blocked else "heal"] +
                    [f"127.0.0.1:{self.hosts[other]['peer']}"
                     for other in callees], check=False, timeout=20)

    def endpoint_stats(self):
        """Returns the counters of each endpoint that responds, by name."""
        out = {}
        for name, item in self.endpoints.items():
            try:
                out[name] = http_json(item["port"], "GET", "/stats")[1]
            except OSError:
                continue
        return out

    def count_held_requests(self):
        """Returns the number of requests for which engines hold memory."""
        return sum(item.get("held_now", 0)
                   for item in self.endpoint_stats().values())

    def stop(self, graceful=True):
        """Stops all processes; returns the hosts' exit statuses."""
        statuses = {}
        for name, process in self.processes.items():
            if process.poll() is None and name in self.hosts:
                process.send_signal(signal.SIGCONT)
                process.send_signal(
                    signal.SIGTERM if graceful else signal.SIGKILL)
        for name, process in self.processes.items():
            if name in self.hosts:
                try:
                    statuses[name] = process.wait(30)
                except subprocess.TimeoutExpired:
                    process.kill()
                    statuses[name] = process.wait()
        for name, process in self.processes.items():
            if name not in self.hosts and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if not self.keep_folder:
            shutil.rmtree(self.folder, ignore_errors=True)
        return statuses
