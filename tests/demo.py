"""Demonstrates a fleet: a streamed summary, a booking and a graceful stop."""

import http.client
import json
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent / "harness"))
from fleet import Fleet, association, http_json, wait_until

DOSSIER = "Fire rating of curtain linings, clause by clause. " * 400


def stream_summary(fleet, host):
    """Requests a summary; prints its time to first token and its start."""
    port = fleet.hosts[host]["client"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    body = {"model": "loom-assist", "stream": True, "max_tokens": 60,
            "messages": [{"role": "user", "content": DOSSIER}]}
    began = time.monotonic()
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body),
        {"Authorization": f"Bearer {fleet.keys['harbour-workshops']}"})
    response = connection.getresponse()
    pieces, first, done = [], None, False
    for line in response:
        text = line.decode().strip()
        if text == "data: [DONE]":
            done = True
        elif text.startswith("data: "):
            choice = json.loads(text[6:])["choices"][0]
            piece = choice["delta"].get("content", "")
            if piece and first is None:
                first = time.monotonic() - began
            pieces.append(piece)
    connection.close()
    assert response.status == 200 and done, (response.status, pieces)
    print(f"summary through {host}: first token after {first * 1000:.0f} ms,"
          f" complete: {done}\n  {''.join(pieces)[:100]}...")


def book(fleet, host, key):
    port = fleet.hosts[host]["client"]
    headers = {"Authorization": f"Bearer {fleet.keys['shop-counters']}",
               "Idempotency-Key": key}
    return http_json(port, "POST", "/fittings", {"id": key}, headers)


def find_last_placement(fleet, host):
    """Returns where a host's last request ran, according to its log."""
    def ends():
        log = (fleet.folder / f"{host}.log").read_text().splitlines()
        return [line for line in log if "event=request_done" in line]
    wait_until(ends, "the request's end in the log", 5)
    return ends()[-1].split("event=request_done ")[1]


def main():
    fleet = Fleet(association(first_port=20000), tls=True)
    try:
        print("starting 8 hosts in 4 availability zones, 9 engines and 4 "
              "services, each a process, with mutual TLS between hosts")
        fleet.start()
        stream_summary(fleet, "galway-a-1")
        print("  " + find_last_placement(fleet, "galway-a-1"))
        used = {name: stats for name, stats in fleet.endpoint_stats().items()
                if stats.get("prefills") or stats.get("decodes")}
        for name, stats in used.items():
            print(f"  {name}: {stats['prefills']} prefills, "
                  f"{stats['decodes']} decodes")
        status, first = book(fleet, "sligo-c-1", "visit-1")
        assert status == 200, first
        print(f"booking through sligo-c-1: {first}")
        print("  " + find_last_placement(fleet, "sligo-c-1"))
        wait_until(lambda: book(fleet, "ennis-d-2", "visit-1")[0] == 200,
                   "the recorded response", 10)
        again = book(fleet, "ennis-d-2", "visit-1")
        print(f"the same booking again, through ennis-d-2: {again[1]}")
        assert again == (200, first), again
        wait_until(lambda: fleet.count_held_requests() == 0,
                   "engines to release all memory", 10)
        print("memory held on engines at the end: 0")
        prefilled = {name for name, item in used.items() if item["prefills"]}
        decoded = {name for name, item in used.items() if item["decodes"]}
        assert prefilled and decoded and not prefilled & decoded
    finally:
        statuses = fleet.stop()
    print("stopped; exit statuses of the hosts: "
          f"{sorted(set(statuses.values()))}")
    return 0 if set(statuses.values()) == {0} else 1


if __name__ == "__main__":
    sys.exit(main())
