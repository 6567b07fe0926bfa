#!/usr/bin/env python3
"""Writes a batch of input frames for the simulator adapter: a small cluster, played against an adapter by a seed.

    tools/simulator_frames.py ADAPTER INPUT_FILE

The cluster answers what the adapter sends (requests, probes, timers, list subscriptions), so that the events make sense to the
router. It passes through normal load, overload, servers that fail or are slow, rolling restarts with slow start, purges, clients
that leave, and replicas that are killed and started again. The frames are written as they were sent, gzip-compressed;
tools/behaviour_net replays them and compares the adapter's output byte for byte.

The wire is described in src/benchlink/codec.hpp and read by src/benchlink/codec.cpp.
"""
import gzip
import heapq
import random
import struct
import subprocess
import sys

SEED = 1912
CLOCK_START_MS = 10000.0
STEP_MS = 5.0
RUN_MS = 16000.0
SUBSCRIPTION_ANSWER_MS = 20.0

ATTACH, KILL, TIMER, PROBE_DONE, HEADERS, DONE, INBOUND, PURGE, REGISTRY, DROPPED, PEER, ON = 2, 1, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12
SEND, BAIL_OUT, PROBE, ARM, GIVE_UP, CANCEL, SOURCE, LOG_LINE, REJECT, FOLLOW = 67, 68, 69, 70, 71, 73, 74, 76, 77, 78
OK, MISS, ERROR, FULL, TIMED_OUT, NO_CONNECTION, BROKEN, CANCELLED, NOT_EXECUTED = 100, 101, 301, 302, 303, 304, 305, 306, 307
LIST_DELTA, LIST_FULL, LIST_CACHED, LIST_FAILED = 0, 1, 2, 3
DRAINING, GONE, READY = 0, 1, 2
CACHE, PARENT, ORIGIN = 0, 1, 2
ZONES = 2
CACHES_PER_ZONE = 5
REPLICAS = 5
STREAMED_CLASS = 0

COMMON_SETTINGS = """balancers=5
azs=hub,store
flavors=box,parent,origin
classes.count=4
classes.0.name=video
classes.0.aim=500
classes.0.aimStretch=2
classes.0.giveUp=5000
classes.0.importance=2
classes.0.idempotency=repeatable
classes.0.stream=true
classes.1.name=label
classes.1.aim=120
classes.1.giveUp=1500
classes.1.importance=5
classes.1.idempotency=repeatable
classes.2.name=ticket
classes.2.aim=250
classes.2.giveUp=2500
classes.2.importance=3
classes.2.idempotency=by_key
classes.2.group=zone
classes.2.memorySpan=1200
classes.3.name=order
classes.3.aim=400
classes.3.giveUp=2000
classes.3.importance=8
classes.3.idempotency=once
familyInfo.crewByZone=1,4
familyInfo.pipeKbPerS=300000,120000
familyInfo.streamKbPerS=8800
familyInfo.parentKind=1
familyInfo.sourceKind=2
familyInfo.lifetimeByClass=0,3000,0,0
familyInfo.neverKept=false,false,false,true
familyInfo.purgeDone=1500
familyInfo.parentFloor=0.3
familyInfo.parentRamp=4000
familyInfo.parentFallMultiple=2
obligations.coldFrom=0.2
obligations.cold=3000
obligations.overloadFactor=1.5
obligations.fall=500
limits.maxAttempts=4
limits.connectTimeout=400
limits.connIdle=30000
limits.streamsPerConn=100
"""
RICH_SETTINGS = """discovery=push
weights=nominal
familyInfo.canJoin=true
familyInfo.direct=true
familyInfo.lateral=location
familyInfo.detail=all
limits.cancel=true
limits.mayDuplicate=true
limits.probing=true
limits.retryAfter=true
limits.maxRetryAfter=500
limits.maxOpen=300
report.names=x0,x1,load
report.via=answers
familyInfo.reportX1=how full the link is
"""
POOR_SETTINGS = """discovery=ask
weights=none
familyInfo.canJoin=false
familyInfo.direct=false
familyInfo.lateral=none
familyInfo.detail=hit
limits.cancel=false
limits.mayDuplicate=false
limits.probing=false
limits.retryAfter=false
limits.maxOpen=60
report.names=x0,x1,load
report.via=probe
"""


class Server:
    """What the cluster holds of one cache, parent or origin."""

    def __init__(self, number, zone, kind, cell):
        self.number = number
        self.zone = zone
        self.kind = kind
        self.cell = cell
        self.mode = READY
        self.started_ms = 0.0
        self.weight = 80.0 if kind == PARENT else 20.0
        self.in_flight = 0
        self.failing = None
        self.slowdown = 1.0

    def entry(self):
        return struct.pack(">IHBHBfd", self.number, self.zone, self.kind, self.cell, self.mode, self.weight, self.started_ms)


class Cluster:
    """Servers, clients and discovery; turns the adapter's actions into later events."""

    def __init__(self, adapter, output):
        self.random = random.Random(SEED)
        self.adapter = adapter
        self.output = output
        self.now = CLOCK_START_MS
        self.due = []
        self.sequence = 0
        self.batch = 0
        self.request = 100
        self.requests = {}
        self.attempts = {}
        self.epoch = 1
        self.following = set()
        self.alive = set()
        self.lives = [0] * REPLICAS
        self.counts = {"in": {}, "out": {}}
        self.servers = {}
        for zone in range(ZONES):
            for i in range(CACHES_PER_ZONE):
                self.add(Server(0x100 + 16 * zone + i, zone, CACHE, i // 2))
        for i in range(3):
            self.add(Server(0x200 + i, 0, PARENT, 10 + i))
        self.add(Server(0x300, 0, ORIGIN, 20))

    def add(self, server):
        self.servers[server.number] = server

    def at(self, when, replica, record):
        """Queues a record (bytes, or a function that returns bytes or None once it is due)."""
        self.sequence += 1
        heapq.heappush(self.due, (when, self.sequence, replica, self.lives[replica], record))

    # ---- events

    def settings(self, replica):
        zone = "zone=%d\nme=%d\n" % (0 if replica == 0 else 1, replica)
        extra = POOR_SETTINGS if replica >= 3 else RICH_SETTINGS
        return (zone + COMMON_SETTINGS + extra).encode()

    def attach(self, replica):
        text = self.settings(replica)
        self.alive.add(replica)
        self.at(self.now, replica, struct.pack(">HQI", ATTACH, self.random.getrandbits(64), len(text)) + text)
        self.at(self.now, replica, self.registry(LIST_CACHED))

    def kill(self, replica):
        self.alive.discard(replica)
        self.following.discard(replica)
        for number in [n for n, r in self.requests.items() if r["replica"] == replica]:
            del self.requests[number]
        self.lives[replica] += 1
        self.at(self.now, replica, struct.pack(">H", KILL))

    def registry(self, scope, servers=None):
        listed = [] if scope == LIST_FAILED else (servers or list(self.servers.values()))
        head = struct.pack(">HBII", REGISTRY, scope, self.epoch, len(listed))
        return head + b"".join(server.entry() for server in listed)

    def changed(self, *servers):
        """Tells each replica of servers whose list entries changed."""
        self.epoch += 1
        for replica in sorted(self.alive):
            if replica < 3 or replica in self.following:
                self.at(self.now + self.random.uniform(1, 60), replica, self.registry(LIST_DELTA, list(servers)))

    def arrive(self, replica):
        self.request += 1
        number = self.request
        chosen = self.random.choices(range(4), weights=(6, 8, 3, 1))[0]
        item = int(self.random.paretovariate(0.8)) % 400
        deadline = (5000.0, 1500.0, 2500.0, 2000.0)[chosen] * self.random.uniform(0.5, 1)
        size_kb = self.random.uniform(100, 4000) if chosen == STREAMED_CLASS else self.random.uniform(0, 60)
        self.requests[number] = {"replica": replica, "class": chosen, "attempts": 0, "deadline": self.now + deadline, "item": item}
        record = struct.pack(">HIBIQdfffH", INBOUND, number, chosen, 0, 1000 + item, deadline, size_kb, item % 8, item % 5, 0)
        self.at(self.now, replica, record)
        if self.random.random() < 0.1:
            self.at(self.now + self.random.uniform(1, 60), replica, lambda: self.client_left(number))
        else:
            self.at(self.now + deadline + 400, replica, lambda: self.client_left(number))

    def client_left(self, number):
        if self.requests.pop(number, None) is None:
            return None
        return struct.pack(">HI", DROPPED, number)

    def report(self, server):
        return struct.pack(">Bfff", 3, server.in_flight / 20, min(1.0, server.in_flight / 40), float(server.in_flight))

    def no_report(self):
        return struct.pack(">B", 0)

    # ---- actions

    def send(self, replica, fields):
        number, flags, _rank, _oldest, source, target, patience = fields
        request = self.requests.get(number)
        server = self.servers[target]
        attempt = 0
        if request is not None:
            attempt = request["attempts"]
            request["attempts"] += 1
        server.in_flight += 1
        key = (number, attempt)
        verdict, took, remark = self.outcome(server, self.servers[source], flags)
        if patience > 0 and took > patience:
            verdict, took, remark = TIMED_OUT, patience, 0
        self.attempts[key] = {"target": target, "over": False, "sent": self.now, "started": False}
        streamed = request is not None and request["class"] == STREAMED_CLASS and verdict in (OK, BROKEN) and took > 4
        if streamed:
            self.at(self.now + took / 3, replica, lambda: self.started(key))
        self.at(self.now + took, replica, lambda: self.ended(key, verdict, remark))

    def outcome(self, server, source, flags):
        """Verdict, time in ms and remark of one attempt."""
        draw = self.random.random
        if server.mode == GONE or server.failing == "down":
            return NO_CONNECTION, self.random.uniform(0.5, 3), 0
        if server.failing == "silent":
            return TIMED_OUT, 6000.0, 0
        crowded = server.in_flight / (60.0 if server.kind == CACHE else 200.0)
        if crowded > 1 and draw() < min(0.9, crowded - 0.9):
            return FULL, self.random.uniform(0.3, 2), 0
        if server.failing == "errors" and draw() < 0.7:
            return ERROR, self.random.uniform(1, 5), 0
        took = self.random.expovariate(1 / 12.0) * server.slowdown * (1 + 3 * crowded) + 2
        chance = draw()
        if chance < 0.01:
            return ERROR, took, 0
        if chance < 0.02:
            return BROKEN, took, 0
        if chance < 0.025:
            return NOT_EXECUTED, took, 0
        if chance < 0.03:
            return TIMED_OUT, 900.0, 0
        if source is server:
            if chance < 0.25 and server.kind != ORIGIN:
                return MISS, took, self.random.choice((0, 4))
            return OK, took, self.random.choice((1, 1, 1, 4, 5))
        if chance < 0.12 or source.failing or source.mode == GONE:
            return MISS, took * 2, self.random.choice((6, 7, 8, 9, 10))
        return OK, took * 3, self.random.choice((1, 2, 2, 3, 4))

    def started(self, key):
        attempt = self.attempts[key]
        if attempt["over"]:
            return None
        attempt["started"] = True
        return struct.pack(">HIIBd", HEADERS, key[0], attempt["target"], key[1], self.now - attempt["sent"])

    def ended(self, key, verdict, remark):
        attempt = self.attempts[key]
        if attempt["over"]:
            return None
        attempt["over"] = True
        server = self.servers[attempt["target"]]
        server.in_flight -= 1
        number = key[0]
        request = self.requests.get(number)
        final = request is None or verdict == OK or (verdict == BROKEN and attempt["started"])
        if final:
            self.requests.pop(number, None)
        took = self.now - attempt["sent"]
        record = struct.pack(">HIBIHdBBd", DONE, number, key[1], attempt["target"], verdict, took, int(final), remark,
                             took / 2 if remark in (2, 3, 4, 7, 10) else 0.0)
        reports = verdict in (OK, MISS, FULL, ERROR) and self.random.random() < 0.8
        return record + (self.report(server) if reports else self.no_report())

    def cancel(self, replica, number, index):
        key = (number, index)
        attempt = self.attempts.get(key)
        if attempt and not attempt["over"] and not attempt["started"]:
            self.at(self.now + self.random.uniform(0.1, 2), replica, lambda: self.ended(key, CANCELLED, 0))

    def probe(self, replica, target):
        server = self.servers[target]
        took = self.random.uniform(0.5, 4) * server.slowdown
        verdict = OK
        if server.mode == GONE or server.failing == "down":
            verdict = NO_CONNECTION
        elif server.failing == "silent":
            verdict, took = TIMED_OUT, 400.0
        record = struct.pack(">HIdH", PROBE_DONE, target, took, verdict)
        self.at(self.now + took, replica, record + (self.report(server) if verdict == OK else self.no_report()))

    def follow(self, replica):
        failed = self.random.random() < 0.3
        if not failed:
            self.following.add(replica)

        def answer():
            return self.registry(LIST_FAILED if failed else LIST_FULL)
        self.at(self.now + SUBSCRIPTION_ANSWER_MS, replica, answer)

    def act(self, reply):
        """Reads one reply's records and queues what follows from them."""
        at = 0
        replica = None

        def take(form):
            nonlocal at
            fields = struct.unpack_from(">" + form, reply, at)
            at += struct.calcsize(">" + form)
            return fields
        while at < len(reply):
            code = take("H")[0]
            self.counts["out"][code] = self.counts["out"].get(code, 0) + 1
            if code == SOURCE:
                replica = take("H")[0]
            elif code == SEND:
                self.send(replica, take("IBBdIId"))
            elif code == CANCEL:
                self.cancel(replica, *take("IB"))
            elif code == REJECT:
                self.requests.pop(take("Id")[0], None)
            elif code == GIVE_UP:
                self.requests.pop(take("I")[0], None)
            elif code == ARM:
                when, handle = take("dQ")
                self.at(max(when, self.now + 0.001), replica, struct.pack(">HQ", TIMER, handle))
            elif code == PROBE:
                self.probe(replica, take("I")[0])
            elif code == FOLLOW:
                take("B")
                self.follow(replica)
            elif code == LOG_LINE:
                length = take("H")[0]
                at += length
            elif code == BAIL_OUT:
                length = take("H")[0]
                sys.exit("the adapter's decisions failed: %r" % reply[at:at + length])
            else:
                sys.exit("unknown action %d" % code)

    # ---- the course of the run

    def troubles(self):
        """What happens when, in ms after the start."""
        caches = [self.servers[0x110 + i] for i in range(CACHES_PER_ZONE)]
        parent = self.servers[0x200]
        origin = self.servers[0x300]

        def fail(server, how, slowdown=1.0):
            def begin():
                server.failing = how
                server.slowdown = slowdown
            return begin

        def mode(server, to):
            def begin():
                server.mode = to
                if to == READY:
                    server.started_ms = self.now
                    server.failing = None
                    server.slowdown = 1.0
                self.changed(server)
            return begin

        def purge(group, item):
            def begin():
                for replica in sorted(self.alive):
                    record = struct.pack(">HQHd", PURGE, 0 if group else 1000 + item, item % 8, self.random.uniform(0, 20))
                    self.at(self.now + self.random.uniform(1, 80), replica, record)
            return begin

        def say():
            for replica in sorted(self.alive):
                self.at(self.now, replica, struct.pack(">HIH", PEER, 1, 5) + b"hello")

        course = [
            (1500, fail(caches[0], None, 12.0)), (2500, fail(caches[0], None)),
            (2600, fail(caches[1], "errors")), (3400, fail(caches[1], None)),
            (3500, fail(caches[2], "silent")), (4700, fail(caches[2], None)),
            (5000, mode(caches[3], DRAINING)), (5600, mode(caches[3], GONE)), (6200, mode(caches[3], READY)),
            (6600, fail(parent, "down")), (6900, mode(parent, GONE)), (7500, mode(parent, READY)),
            (9000, fail(caches[4], "down")), (9600, mode(caches[4], GONE)), (10200, mode(caches[4], READY)),
            (10500, fail(origin, None, 8.0)), (11200, fail(origin, None)),
            (11500, lambda: self.kill(1)), (11900, lambda: self.attach(1)),
            (12000, lambda: self.kill(4)), (12300, lambda: self.attach(4)),
            (12500, say), (13000, say), (14000, say),
            (12600, fail(caches[0], "down")), (13400, fail(caches[0], None)),
            (12700, fail(caches[2], "errors")), (13900, fail(caches[2], None)),
            (13000, lambda: self.kill(0)), (13000, lambda: self.attach(0)),
            (13200, lambda: self.kill(3)), (13300, lambda: self.attach(3)),
            (13600, lambda: self.kill(2)), (13700, lambda: self.attach(2)),
            (14000, fail(parent, "silent")), (15200, fail(parent, None)),
        ]
        course += [(500 + 700 * i, purge(i % 3 == 0, 3 * i)) for i in range(22)]
        return sorted(((CLOCK_START_MS + when, begin) for when, begin in course), key=lambda one: one[0])

    def rate(self, elapsed):
        """Requests in one step, for all replicas."""
        if 7800 < elapsed < 8700:
            return 16
        if elapsed > 13500:
            return 0.2
        return 1.1

    def exchange(self, records):
        """Sends one batch, with all due records, and returns the reply's body."""
        body = b""
        count = 0
        named = None
        for replica, record in records:
            if replica != named:
                body += struct.pack(">HH", ON, replica)
                count += 1
                named = replica
            body += record
            count += 1
            code = struct.unpack_from(">H", record)[0]
            self.counts["in"][code] = self.counts["in"].get(code, 0) + 1
        self.batch += 1
        frame = struct.pack(">dIII", self.now, len(body), count, self.batch) + body
        self.output.write(frame)
        self.adapter.stdin.write(frame)
        self.adapter.stdin.flush()
        length, batch = struct.unpack(">II", self.adapter.stdout.read(8))
        if batch != self.batch:
            sys.exit("a reply to another batch")
        return self.adapter.stdout.read(length)

    def run(self):
        course = self.troubles()
        for replica in range(REPLICAS):
            self.attach(replica)
        while self.now < CLOCK_START_MS + RUN_MS:
            while course and course[0][0] <= self.now:
                course.pop(0)[1]()
            rate = self.rate(self.now - CLOCK_START_MS)
            arrivals = int(rate) + int(self.random.random() < rate - int(rate))
            for _ in range(arrivals):
                self.arrive(self.random.choice(sorted(self.alive)))
            records = []
            while self.due and self.due[0][0] <= self.now:
                _, _, replica, life, record = heapq.heappop(self.due)
                built = record() if callable(record) else record
                if built is not None and life == self.lives[replica]:
                    records.append((replica, built))
            self.act(self.exchange(records))
            self.now += STEP_MS


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    adapter = subprocess.Popen([sys.argv[1]], stdin=subprocess.PIPE, stdout=subprocess.PIPE, env={})
    with open(sys.argv[2], "wb") as file, gzip.GzipFile(filename="", fileobj=file, mode="wb", mtime=0) as output:
        cluster = Cluster(adapter, output)
        cluster.run()
    adapter.stdin.close()
    if adapter.wait() != 0:
        sys.exit("the adapter failed")
    print("batches %d" % cluster.batch)
    for way, codes in cluster.counts.items():
        print(way, " ".join("%d:%d" % one for one in sorted(codes.items())))


if __name__ == "__main__":
    main()
