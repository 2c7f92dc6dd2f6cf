"""Causes failures one by one in a fleet of real processes, and checks how the
fleet handles each."""

import http.client
import http.server
import json
import sys
import threading
import time
import traceback

from fleet import Fleet, Shape, http_json, wait_until

import os
FIRST_PORT = int(os.environ.get("FIRST_PORT", "26000"))
PLATFORM_PORT = FIRST_PORT + 290


class FakePlatform:
    """A fake of the platform's list of hosts and endpoints."""

    def __init__(self):
        self.leaving = set()
        self.hosts = set()
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                body = json.dumps({
                    "hosts": [{"name": name, "state": "live"}
                              for name in platform.hosts],
                    "endpoints": [{"name": name, "state": "leaving"}
                                  for name in platform.leaving]}).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", PLATFORM_PORT), Handler)
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()


def send_prompt(fleet, host, prompt, key=None, tokens=20):
    key = key or fleet.keys["alpha"]
    return http_json(
        fleet.hosts[host]["client"], "POST", "/v1/completions",
        {"model": "writer", "prompt": prompt, "max_tokens": tokens},
        {"Authorization": f"Bearer {key}"})


def book(fleet, host, booking_id, account="alpha"):
    return http_json(
        fleet.hosts[host]["client"], "POST", "/book", {"id": booking_id},
        {"Authorization": f"Bearer {fleet.keys[account]}",
         "Idempotency-Key": booking_id})


def wait_until_ok(call, what):
    wait_until(lambda: call()[0] == 200, what, 20)


def poison_is_quarantined_everywhere(fleet, platform):
    """A request that crashes engines crashes at most two of them."""
    before = dict(fleet.processes)
    status, body = send_prompt(fleet, "north-1", "CRASH-ENGINE now")
    code = body["error"]["code"] if status != 200 else ""
    assert status == 422 and code == "quarantined", (status, body)
    assert body["error"]["not_run"] is False, body
    time.sleep(0.3)
    crashed = [name for name, item in fleet.endpoints.items()
              if item["kind"] == "model" and before[name].poll() is not None]
    for name in crashed:
        fleet.restart(name)
    assert 1 <= len(crashed) <= 2, crashed
    for host in ("south-1", "west-1"):
        status, body = send_prompt(fleet, host, "CRASH-ENGINE now")
        assert status == 422 and body["error"]["not_run"] is True, body
    wait_until_ok(lambda: send_prompt(fleet, "south-1", "a good prompt"),
                  "other requests")


def a_withdrawn_key_ends_its_stream(fleet, platform):
    issued, _ = fleet.ctl("key", "issue", "alpha")
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.hosts["west-1"]["client"], timeout=30)
    connection.request(
        "POST", "/v1/completions",
        json.dumps({"model": "writer", "prompt": "long", "stream": True,
                    "max_tokens": 2000}),
        {"Authorization": f"Bearer {issued['key']}"})
    response = connection.getresponse()
    assert response.status == 200, response.status
    response.readline()
    began = time.monotonic()
    fleet.ctl("key", "withdraw", issued["key_id"])
    try:
        rest = response.read()
    except http.client.IncompleteRead as error:
        rest = error.partial
    assert time.monotonic() - began < 4, (
        "the stream continued after the withdrawal")
    assert b"[DONE]" not in rest, "the stream looks complete"
    assert send_prompt(fleet, "north-2", "x", issued["key"])[0] == 401


def a_cut_zone_does_what_is_safe(fleet, platform):
    fleet.partition_zone("south", True)
    try:
        time.sleep(1.5)
        wait_until_ok(lambda: send_prompt(fleet, "south-2", "cut"),
                      "requests in an isolated zone")
        status, body = book(fleet, "south-2", "cut-visit")
        assert status == 503, (status, body)
        assert body["error"]["code"] == "claims_unreachable", body
        assert body["error"]["not_run"] is False, body
        wait_until_ok(lambda: book(fleet, "north-1", "north-visit"),
                      "bookings in other zones")
    finally:
        fleet.partition_zone("south", False)
    wait_until_ok(lambda: book(fleet, "south-2", "healed-visit"),
                  "bookings in the reconnected zone")


def a_leaving_endpoint_gets_no_new_work(fleet, platform):
    platform.leaving = {"writer-west-1", "writer-west-2"}
    time.sleep(3)
    before = fleet.endpoint_stats()
    for number in range(20):
        send_prompt(fleet, "west-1", f"leaving {number}")
    after = fleet.endpoint_stats()
    for name in platform.leaving:
        assert after[name]["prefills"] == before[name]["prefills"], name
    platform.leaving = set()


def a_zone_out_gets_no_new_work(fleet, platform):
    fleet.ctl("zone", "out", "north")
    time.sleep(2)
    before = fleet.endpoint_stats()
    status, body = send_prompt(fleet, "north-1", "out")
    assert status == 503 and body["error"]["not_run"] is True, body
    # The visit may have been booked before, through another host.
    wait_until_ok(lambda: book(fleet, "south-1", "out-visit"), "a booking")
    status, body = book(fleet, "north-1", "out-visit")
    assert status == 503 and body["error"]["not_run"] is False, body
    assert http_json(fleet.hosts["north-1"]["admin"], "GET",
                     "/ready")[0] == 503
    for number in range(10):
        wait_until_ok(lambda: send_prompt(fleet, "south-1", f"out {number}"),
                      "requests in another zone")
    after = fleet.endpoint_stats()
    for name, item in fleet.endpoints.items():
        if item["zone"] == "north" and item["kind"] == "model":
            assert after[name]["prefills"] == before[name]["prefills"], name
    fleet.ctl("zone", "in", "north")
    wait_until_ok(lambda: send_prompt(fleet, "north-1", "back"),
                  "requests in the zone back in service")


def orders_carry_growing_numbers(fleet, platform):
    first, _ = fleet.ctl("order", "writer-west-1", "load", "tailor-7b")
    second, _ = fleet.ctl("order", "writer-west-1", "role", "decode")
    assert second["fence"] == first["fence"] + 1, (first, second)
    old = http_json(fleet.endpoints["writer-west-1"]["port"], "POST",
                    "/order", {"fence": first["fence"], "order": "load"})
    assert old[0] == 409, old


def a_dead_hosts_share_goes_to_others(fleet, platform):
    fleet.kill("west-2")
    fleet.wait_for_exit("west-2")
    platform.hosts = set(fleet.hosts) - {"west-2"}
    wait_until(lambda: fleet.status()["fleet"]["retired"] == ["west-2"]
               and fleet.status()["fleet"]["shares_settled"],
               "the share to be redistributed", 30)
    rate = fleet.shape.accounts["alpha"][0]

    def shares():
        rates = [item["shares"]["alpha"]["rate"]
                 for item in fleet.status()["hosts"] if "shares" in item]
        assert sum(rates) <= rate, rates
        return rates
    wait_until(lambda: min(shares()) == rate // 5, "shares of one fifth", 10)
    platform.hosts = set(fleet.hosts)
    fleet.restart("west-2")
    wait_until(lambda: not fleet.status()["fleet"]["retired"], "west-2", 30)


def a_member_without_its_disk_still_serves(fleet, platform):
    """The member serves callers before an operator replaces it."""
    fleet.kill("south-1")
    fleet.wait_for_exit("south-1")
    fleet.lose_disk("south-1")
    fleet.restart("south-1")
    wait_until(lambda: send_prompt(fleet, "south-1", "no disk")[0] == 200,
               "the host without its disk", 15)
    peer = fleet.hosts["south-1"]["peer"]
    fleet.ctl("control", "replace", f"south-1@127.0.0.1:{peer}")


CHECKS = (poison_is_quarantined_everywhere, a_withdrawn_key_ends_its_stream,
          a_cut_zone_does_what_is_safe, a_leaving_endpoint_gets_no_new_work,
          a_zone_out_gets_no_new_work, orders_carry_growing_numbers,
          a_dead_hosts_share_goes_to_others,
          a_member_without_its_disk_still_serves)


def main():
    shape = Shape(
        {"north": 2, "south": 2, "west": 2},
        ("writer", {"north": 2, "south": 2, "west": 2}, "batch"),
        ("desk", {"north": 1, "south": 1, "west": 1}, "/book", "/look"),
        {"alpha": (60000, 240000)}, FIRST_PORT,
        engine_options=["--step-us", "6000", "--step-us-per-request", "100",
                        "--prefill-us", "20"])
    platform = FakePlatform()
    fleet = Fleet(shape, torture=True, platform_port=PLATFORM_PORT)
    platform.hosts = set(fleet.hosts)
    passed = failed = 0
    try:
        fleet.start()
        wait_until_ok(lambda: send_prompt(fleet, "north-1", "warm"),
                      "the first response")
        for check in CHECKS:
            try:
                check(fleet, platform)
                print(f"ok      {check.__name__}")
                passed += 1
            except Exception:
                print(f"FAILED  {check.__name__}")
                traceback.print_exc(file=sys.stdout)
                failed += 1
            sys.stdout.flush()
        wait_until(lambda: fleet.count_held_requests() == 0,
                   "engines to release all memory", 30)
    finally:
        fleet.keep_folder = failed > 0
        fleet.stop(graceful=False)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
