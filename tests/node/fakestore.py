"""A fake of the platform's store, and helpers to run parts of an entry on one event loop."""

import base64
import contextlib
import json
import os
import socket
from urllib.parse import unquote

from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler
from chicoryproxy.model import Endpoint
from tests.childprocess import reserve_network

_NETWORK, _NETWORK_LOCK = reserve_network(os.getpid() + 100)
HOST = f"127.{_NETWORK}.0.1"
"""An address that only this test run uses, since entries serve metrics on a fixed port."""

DEADLINE_S = 5.0

PAGE_BYTES = 1_000_000
"""Size of the values from which a listing has another page."""


def run_until(loop: Loop, condition, deadline_s=DEADLINE_S):
    """Run an event loop until a condition holds; fail after the deadline."""
    end = loop.read_clock() + deadline_s
    is_met = False

    def check():
        nonlocal is_met
        is_met = bool(condition())
        if is_met or loop.read_clock() > end:
            loop.stop()
        else:
            loop.call_later(0.005, check)

    first_check = loop.call_later(0.0, check)
    loop.run()
    first_check.cancel()
    assert is_met, "the condition did not hold before the deadline"


def pick_ports(count):
    """Return different TCP ports that were free a moment ago, probably for UDP as well."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]


def pick_port():
    """Return one of these ports; calls one after the other may return the same."""
    return pick_ports(1)[0]


class _Connection(StreamHandler):
    """An accepted connection to the fake store; requests are answered in order."""

    def __init__(self, store):
        self.stream = None
        self.is_silent = False
        self._store = store
        self._buffer = b""

    def handle_connected(self):
        """Do nothing; an accepted connection is already open."""

    def handle_closed(self, error):
        """Do nothing."""

    def handle_data(self, data):
        """Answer each request whose head is complete."""
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            if not self.is_silent:
                self._store.answer(self, head.split(b" ")[1].decode())

    def reply(self, status, body):
        """Send a response with a JSON body."""
        data = self._store.spell(json.dumps(body))
        head = f"HTTP/1.1 {status} X\r\n{self._store.get_epoch_header()}"
        self.stream.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        self._store.on_reply()


class FakeStore:
    """A fake of the platform's store with faults that tests can inject.

    :ivar calls: targets of the received requests, in order.
    :ivar status: status of every response instead of 200, if not ``None``.
    :ivar is_silent: true if requests get no response.
    :ivar on_reply: called after each response.
    :ivar spell: encodes the text of each response.
    :ivar delay_s: time that each response takes, in seconds.
    :ivar stale_revision: revision that listings with ``AllowStale`` show, if not ``None``.
    :ivar names_newest: whether stale listings and silent watches name the newest revision, although
        they lack its changes.
    :ivar range_status: status of every listing and check instead of 200, if not ``None``.
    :ivar watch_status: the same for watches.
    :ivar old_revision: revision whose state listings show and name, if not ``None``; checks show
        the newest one.
    :ivar old_check: revision that checks name, if not ``None``.
    :ivar watch_size: maximum number of events of a watch's answer.
    :ivar revision_step: how much each change raises the revision.
    :ivar hides_items: whether listings say that there are items, but have none.
    :ivar are_watches_hanging: whether silent watches get no answer, instead of one without changes.
    :ivar page_size: maximum number of items of a page.
    :ivar epoch: rises when the store comes back from a copy; text if the header is malformed, and
        ``None`` if answers have none.
    """

    def __init__(self, loop: Loop) -> None:
        self.calls = []
        self.status = None
        self.is_silent = False
        self.on_reply = lambda: None
        self.spell = str.encode
        self.delay_s = 0.0
        self.stale_revision = None
        self.names_newest = False
        self.range_status = None
        self.watch_status = None
        self.old_revision = None
        self.old_check = None
        self.watch_size = 500
        self.revision_step = 1
        self.hides_items = False
        self.are_watches_hanging = False
        self.page_size = 50
        self.epoch = None
        self.history_from = 0
        self.revision = 0
        self._loop = loop
        self._events = []
        self._heard_revision = None
        self._forgotten = set()
        self._connections = []
        self._listener = Listener(loop, Endpoint(HOST, 0), self._serve)

    @property
    def address(self):
        """The address that the store listens on."""
        return Endpoint(HOST, self._listener.port)

    def put(self, key, value):
        """Write a key; a value that isn't bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._add({"Key": key, "Value": base64.b64encode(data).decode()})

    def add_raw(self, key, text):
        """Write a key whose value is this text, which need not be base64."""
        self._add({"Key": key, "Value": text})

    def delete(self, key):
        """Delete a key."""
        self._add({"Key": key, "Deleted": True})

    def drop_history(self):
        """Compact the history; watches from an earlier revision get status 410."""
        self.history_from = self.revision

    def silence_watches(self):
        """Let watches hear of no change that is made from now on; other reads show them."""
        self._heard_revision = self.revision

    def forget_event(self, key):
        """Let watches never bring the last change of a key; other reads show it."""
        self._forgotten.add(max(e["Revision"] for e in self._events if e["Key"] == key))

    def end_silence(self):
        """Let watches hear of all changes again."""
        self._heard_revision = None

    def copy(self):
        """Return a copy of what the store holds now."""
        return list(self._events)

    def restore(self, copy):
        """Come back from a copy in a new epoch; later changes are lost, their revisions free."""
        self._events = list(copy)
        self.revision = copy[-1]["Revision"]
        # The revisions after the copy are given out again, to other changes.
        self.history_from = min(self.history_from, self.revision)
        self._forgotten = {number for number in self._forgotten if number <= self.revision}
        if self._heard_revision is not None:
            self._heard_revision = min(self._heard_revision, self.revision)
        self.epoch = (self.epoch or 0) + 1

    def get_epoch_header(self):
        """Return the line of the header that names the epoch."""
        return "" if self.epoch is None else f"Store-Era: {self.epoch}\r\n"

    def silence_connections(self):
        """Answer no further request on the open connections; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def cut_connections(self):
        """Close all open connections, and with them the watches that are waiting."""
        for connection in self._connections:
            connection.stream.close()
        self._connections = []

    def answer(self, connection, target):
        """Answer a request."""
        self.calls.append(target)
        if not self.is_silent:
            self._loop.call_later(self.delay_s, lambda: self._answer(connection, target))

    def _answer(self, connection, target):
        if self.status is not None:
            connection.reply(self.status, {})
            return
        path, _, text = target.partition("?")
        status = self.range_status if path == "/-/kv-range" else self.watch_status
        if status is not None:
            connection.reply(status, {})
            return
        parts = (part.split("=") for part in text.split("&"))
        query = {name: unquote(value) for name, value in parts}
        if path == "/-/kv-range":
            self._answer_range(connection, query)
        else:
            due_s = self._loop.read_clock() + int(query["WaitMs"]) / 1000
            self._answer_watch(connection, int(query["after"]), due_s)

    def _add(self, item):
        self.revision += self.revision_step
        self._events.append({**item, "Revision": self.revision})

    def _serve(self, sock):
        connection = _Connection(self)
        self._connections.append(connection)
        connection.stream = Stream(self._loop, sock, connection)
        connection.stream.accept()

    def _answer_range(self, connection, query):
        is_check = query.get("Prefix", "") != ""
        old = self.old_check if is_check else self.old_revision
        revision = self.revision if old is None else old
        if "AllowStale" in query and self.stale_revision is not None:
            revision = self.stale_revision
        items = {}
        for event in self._events:
            if event["Revision"] <= revision:
                items[event["Key"]] = event
        prefix = query.get("Prefix", "")
        present = sorted(
            (
                item
                for item in items.values()
                if not item.get("Deleted") and item["Key"].startswith(prefix)
            ),
            key=lambda item: item["Key"],
        )
        rest = [item for item in present if item["Key"] > query.get("after", "")]
        page = [] if self.hides_items else self._cut_page(rest)
        named = self.revision if self.names_newest else revision
        body = {"items": page, "HasMore": len(rest) > len(page), "CurrentRev": named}
        connection.reply(200, body)

    def _cut_page(self, items):
        """Return the items of a page, at least one."""
        size = 0
        for count, item in enumerate(items[: self.page_size]):
            size += len(item["Value"])
            if count and size > PAGE_BYTES:
                return items[:count]
        return items[: self.page_size]

    def _answer_watch(self, connection, after, due_s):
        if connection.stream.is_closed:
            return
        if after < self.history_from or after > self.revision:
            connection.reply(410, {})
            return
        heard = self.revision if self._heard_revision is None else self._heard_revision
        events = [
            event
            for event in self._events
            if after < event["Revision"] <= heard and event["Revision"] not in self._forgotten
        ]
        if not events and heard < self.revision and self.are_watches_hanging:
            return
        if events or self._loop.read_clock() >= due_s:
            named = self.revision if self.names_newest else max(after, heard)
            if len(events) > self.watch_size:
                events = events[: self.watch_size]
                named = events[-1]["Revision"]
            connection.reply(200, {"events": events, "CurrentRev": named})
            return
        self._loop.call_later(0.01, lambda: self._answer_watch(connection, after, due_s))


def create_server_entry(service="huvo11a", zone="shah-alam", **fields):
    """Create the record that a server writes to the store."""
    return {
        "Service": service,
        "Address": "10.128.0.9:8080",
        "Zone": zone,
        "Version": "v1",
        "Concurrency": 2,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 4,
        "born": 1_764_800_000_000,
        **fields,
    }


def create_config(version, port=443, service="huvo11a"):
    """Create a configuration with one route."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "r-1",
                "Hostname": "198.18.0.1",
                "Prefix": f"/{port}/",
                "Type": "idempotent",
                "TimeoutMs": 1500,
                "Priority": 2,
                "Service": service,
            }
        ],
        "Services": [
            {
                "Name": service,
                "HealthCheckPath": "/health",
                "MaxConnections": 2000,
                "ColdStartS": 2.0,
                "ColdPerS": 0.0,
            }
        ],
        "Limits": {"IdleTimeoutMs": 15000},
    }
