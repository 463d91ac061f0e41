"""Demonstrates an installation: configuration, prompts, a dispatch and the shutdown.

``make demo`` runs it once and exits with 0; ``make demo-stay`` keeps the processes
running until it is interrupted, so that they can be called with curl.
"""

from __future__ import annotations

import json
import signal
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import Any

import fire
from processes import Installation, fetch, send

HISTORY_WORDS = 6500
FOSSE_KEY = "fosse-demo-key"
KAASPOST_KEY = "kaaspost-demo-key"


@dataclass
class CallerResponse:
    """A response as its caller received it."""

    status: int
    body: str
    headers: dict[str, str]
    # Seconds until the first byte and until the end of the body.
    first_byte: float
    total: float


def post(url: str, key: str, body: object, **headers: str) -> CallerResponse:
    """Send a JSON request as a caller does."""
    request = urllib.request.Request(url, data=json.dumps(body).encode())
    request.add_header("Authorization", f"Bearer {key}")
    request.add_header("Content-Type", "application/json")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    started = time.monotonic()
    try:
        response = urllib.request.urlopen(request, timeout=60)
    except urllib.error.HTTPError as error:
        response = error
    with response:
        first = response.read(1)
        first_byte = time.monotonic() - started
        text = (first + response.read()).decode()
        total = time.monotonic() - started
        headers = dict(response.headers)
        return CallerResponse(response.status, text, headers, first_byte, total)


def main(stay: bool = False) -> None:
    """Run the demo."""
    with Installation() as installation:
        start(installation)
        if stay:
            wait_for_interrupt(installation)
        else:
            show_conversation(installation)
            show_dispatch(installation)
        statuses = installation.stop_all()
    failed = {name: status for name, status in statuses.items() if status != 0}
    print(f"\n{len(statuses)} processes shut down, with an error: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def start(installation: Installation) -> None:
    """Start two data centres and publish the example configuration."""
    installation.start_platform()
    installation.start_store("store-1", "fault-desk-context", "dc-east")
    installation.start_store("store-2", "ordering-context", "dc-west")
    engine = {"block_tokens": 2000, "capacity": 16}
    installation.start_target("desk-1", "engine", "fault-desk", "dc-east", **engine)
    installation.start_target("desk-2", "engine", "fault-desk", "dc-west", **engine)
    installation.start_target("order-1", "engine", "ordering", "dc-west", **engine)
    installation.start_target("vans-1", "plain", "dispatch", "dc-east")
    installation.start_gateway("gateway-1", "dc-east")
    installation.start_gateway("gateway-2", "dc-west")
    published = installation.run_command(
        "publish", "examples", "--platform", installation.platform_url
    )
    print(published.stdout.strip() or published.stderr.strip())
    installation.wait_until_ready()
    print(f"{len(installation.daemons)} processes are running")


def show_conversation(installation: Installation) -> None:
    """Send a prompt, evict its context from the engines, and send a second one."""
    history = " ".join(f"visit-{number}" for number in range(HISTORY_WORDS))
    url = installation.gateways["gateway-1"] + "/v1/chat/completions"
    messages = [{"role": "user", "content": history + " is the box live?"}]
    first = send_prompt(url, messages)
    report(installation, "first question", first)
    time.sleep(1.0)
    for target in ("desk-1", "desk-2"):
        send("POST", installation.targets[target] + "/evict", {})
    time.sleep(1.2)
    messages.append({"role": "assistant", "content": "yes"})
    messages.append({"role": "user", "content": "and who repaired it last?"})
    second = send_prompt(url, messages)
    report(installation, "second question, context evicted from the engine", second)


def send_prompt(url: str, messages: list[dict[str, str]]) -> CallerResponse:
    """Send a streamed chat request."""
    body = {
        "model": "pillar-8b",
        "messages": messages,
        "max_tokens": 12,
        "stream": True,
    }
    return post(url, FOSSE_KEY, body)


def report(installation: Installation, title: str, response: CallerResponse) -> None:
    """Print a response and the gateway's reason for choosing its target."""
    events = [
        line[6:] for line in response.body.splitlines() if line.startswith("data:")
    ]
    parsed = [json.loads(event) for event in events if event != "[DONE]"]
    text = "".join(
        choice["text"] for event in parsed for choice in event.get("choices", [])
    )
    usage = next(event["usage"] for event in parsed if "usage" in event)
    cached = usage["prompt_tokens_details"]["cached_tokens"]
    choice = find_choice(installation, response.headers["X-Request-Id"])
    print(f"\n{title}: status {response.status}")
    print(f"  answer: {text.strip()[:60]}...")
    print(f"  first byte after {response.first_byte:.3f} s", end=", ")
    print(f"complete after {response.total:.3f} s")
    recomputed = usage["prompt_tokens"] - cached
    print(f"  prompt {usage['prompt_tokens']} tokens, recomputed {recomputed}")
    print(f"  target {choice['target']} because {choice['reason']}")


def find_choice(installation: Installation, request_id: str) -> dict[str, Any]:
    """Return the gateway's decision line for a request."""
    for name in installation.gateways:
        for line in installation.daemons[name].read_log():
            if line["event"] == "target chosen" and line["request_id"] == request_id:
                return line
    raise LookupError(request_id)


def show_dispatch(installation: Installation) -> None:
    """Send the same request twice with one idempotency key, through both gateways."""
    print("\none dispatch, sent twice with the same idempotency key:")
    for gateway in ("gateway-1", "gateway-2"):
        url = installation.gateways[gateway] + "/services/dispatch/vans"
        order = {"pillar": "A46-117"}
        response = post(url, FOSSE_KEY, order, Idempotency_Key="van-for-A46-117")
        replayed = response.headers.get("X-Replayed", "false")
        print(f"  {gateway}: status {response.status}, replayed {replayed}")
        print(f"    {response.body}")
    calls = json.loads(fetch(installation.targets["vans-1"] + "/log"))
    print(f"  dispatches that the target ran: {len(calls)}")


def wait_for_interrupt(installation: Installation) -> None:
    """Print how to call the processes, and wait for Ctrl-C."""
    url = installation.gateways["gateway-1"]
    print(f"\ncurl -N {url}/v1/completions -H 'Authorization: Bearer {FOSSE_KEY}' \\")
    print('  -d \'{"model":"pillar-8b","prompt":"is the box live?","stream":true}\'')
    print(f"platform: {installation.platform_url}   stop with Ctrl-C or SIGTERM")
    # Without a handler, SIGTERM would end this process only, and the others would keep
    # running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    fire.Fire(main)
