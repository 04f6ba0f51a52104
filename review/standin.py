"""Stand-ins for the cases of this review: workers, clients, an operator, proxies, and a small fleet.

Everything runs on loopback addresses and the real clock. Workers follow PROTOCOL.md: leases on their own
clock, fences, run numbers, numbered ends, one id for each life. The fleet is started with the command of
deploy/system.toml and settings like those that its templates produce.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOLD_MAX_MS, STOP_S, HEARTBEAT_S, RESEND_S = 1000, 0.05, 1.5, 1.3
GRACE_S = 6
HOST, PREFIX, SERVICE, ZONE = "review.example", "/q/", "svc", "zone-1"


def daemon():
    for path in ("target/apps/foxwingd", "build/apps/foxwingd"):
        if os.access(os.path.join(ROOT, path), os.X_OK):
            return os.path.join(ROOT, path)
    print("foxwingd is not built: run the line 'build' of deploy/system.toml")
    sys.exit(2)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def break_rule(self, text):
        self.broken.append(text)
        self.write("BROKEN " + text)
        print("BROKEN", text, flush=True)


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def make_message(first, body, headers=None):
    lines = [first, "Content-Type: application/json", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, body=b"", timeout=1.0, headers=None):
    """Status, headers and body of the answer, or None without a complete one. Opens its own connection."""
    writer = None
    try:
        host, port = address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        sent = {"Host": HOST, "Connection": "close"}
        sent.update(headers or {})
        writer.write(make_message(f"{method} {path} HTTP/1.1", body, sent))
        first, answered, answer = await asyncio.wait_for(read_message(reader), timeout)
        return int(first.split()[1]), answered, answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer:
            writer.close()


class Proxy:
    """Forwards connections. A connection whose 'silent' is set passes nothing on any more, in either
    direction, and is not closed. While 'hold' is set, what new connections send is kept and goes on
    later, when release() is called, even if its sender has gone. Until 'cut_until', as in a short cut,
    bytes wait in both directions and go on afterwards."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.pairs, self.hold, self.held = [], False, asyncio.Event()
        self.cut_until = 0.0

    async def serve(self):
        host, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.connection, host, int(port))

    def silence(self):
        """Open connections go silent for good, without a reset, while new ones work."""
        for pair in self.pairs:
            pair["silent"] = True

    def release(self):
        self.hold = False
        self.held.set()

    async def connection(self, reader, writer):
        pair = {"silent": False}
        self.pairs.append(pair)
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        if self.hold:
            await self.deliver_late(reader, writer, target_reader, target_writer)
            return
        await asyncio.gather(self.pump(pair, reader, target_writer),
                             self.pump(pair, target_reader, writer))

    async def deliver_late(self, reader, writer, target_reader, target_writer):
        """Keeps the bytes of one call on an open connection, and hands them on after release()."""
        data = b""
        try:
            while chunk := await asyncio.wait_for(reader.read(65536), 0.3):
                data += chunk
        except (OSError, asyncio.TimeoutError):
            pass
        await self.held.wait()
        try:
            target_writer.write(data)
            await asyncio.wait_for(target_reader.read(65536), 1)
            target_writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        writer.transport.abort()

    async def pump(self, pair, reader, writer):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(max(0.0, self.cut_until - time.monotonic()))
                if pair["silent"]:
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not pair["silent"]:
            writer.transport.abort()


class Worker:
    """One worker at a fixed address. Each life has its own id, clock, fence, runs and ends."""

    def __init__(self, number, address, agent, record, capacity, zone=ZONE):
        self.number, self.address, self.agent, self.record = number, address, agent, record
        self.capacity, self.zone, self.labels = capacity, zone, ["a", "r1"]
        self.lives, self.life, self.server = 0, None, None
        self.connections, self.beats = set(), None
        self.intervals = []  # [task, run, life, start, end, how]
        self.labels_of = {}
        self.on_start = None

    # Lives

    async def begin(self, register=True):
        self.lives += 1
        self.life = f"i-{self.number}-{self.lives}"
        self.labels_of[self.life] = list(self.labels)
        self.began, self.sequence = time.monotonic(), 0
        self.fence, self.lease_ms, self.last_end = 0, 0, 0
        self.runs, self.ended, self.highest, self.state = {}, [], {}, "ready"
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.connection, host, int(port))
        self.record.write(f"worker {self.number}: life {self.life} begins, labels {self.labels}")
        if register:
            self.beats = asyncio.ensure_future(self.beat())
        self.worker = asyncio.ensure_future(self.work())

    def crash(self):
        """Everything running dies at once; the port is dead until the next life."""
        if not self.life:
            return
        self.record.write(f"worker {self.number}: life {self.life} crashes")
        for key in list(self.runs):
            self.finish(key, "crashed")
        if self.beats:
            self.beats.cancel()
        self.worker.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()
        self.life = None

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    # Heartbeats

    def report(self):
        self.sequence += 1
        return json.dumps({
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "cold_remaining_ms": 0,
            "capacity": {"cpu": self.capacity, "mem_mb": 65536, "gpu": 0}, "labels": self.labels,
            "clock_ms": self.clock_ms(), "sequence": self.sequence}).encode()

    async def send_beat(self):
        life, number = self.life, self.sequence + 1
        self.record.write(f"worker {self.number}: heartbeat {number} of {life} sent")
        answer = await call(self.agent, "PUT", f"/instances/{life}", self.report())
        return bool(answer and answer[0] == 200)

    async def beat(self):
        while True:
            done = await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S if done else 0.2)

    # Orders

    async def connection(self, reader, writer):
        self.connections.add(writer)
        life = self.life
        try:
            while True:
                first, headers, body = await read_message(reader)
                if life != self.life:
                    return
                answer = await self.order(first.split()[1], headers, json.loads(body))
                if answer is None or life != self.life:
                    continue
                status, fields = answer
                fields["clock_ms"] = self.clock_ms()
                writer.write(make_message(f"HTTP/1.1 {status} -", json.dumps(fields).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def order(self, path, headers, body):
        if headers.get("target-instance", self.life) != self.life:
            return 421, {}
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        return await self.hold(body)

    def prolong(self, deadline):
        self.lease_ms = max(self.lease_ms, min(deadline, self.clock_ms() + HOLD_MAX_MS))

    def start(self, body):
        key = (body["task"], body["run"])
        if body["deadline_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self.prolong(body["deadline_ms"])
        if key in self.runs:
            return 200, {}
        if body["run"] <= self.highest.get(body["task"], 0):
            return 409, {"reason": "old"}
        work_s = json.loads(body["spec"])["work_s"]
        now = time.monotonic()
        interval = [body["task"], body["run"], self.life, now, None, "running", self.number]
        self.intervals.append(interval)
        self.runs[key] = {"at": now, "until": now + work_s, "stop": False, "interval": interval}
        self.record.write(f"worker {self.number}: {self.life} starts {key[0]} run {key[1]}")
        return self.on_start(key) if self.on_start else (200, {})

    def stop(self, body):
        key = (body["task"], body["run"])
        self.highest[body["task"]] = max(body["run"], self.highest.get(body["task"], 0))
        if key in self.runs and not self.runs[key]["stop"]:
            self.record.write(f"worker {self.number}: told to stop {key[0]} run {key[1]}")
            self.runs[key].update(stop=True, until=time.monotonic() + STOP_S)
        return 200, {}

    async def hold(self, body):
        if "deadline_ms" in body:
            self.prolong(body["deadline_ms"])
        seen, life = body.get("last_seen", 0), self.life
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until and life == self.life:
            await asyncio.sleep(0.004)
        if life != self.life:
            return None
        now = time.monotonic()
        running = [[task, run, "", min(99, int(100 * (now - r["at"]) / max(0.001, r["until"] - r["at"])))]
                   for (task, run), r in self.runs.items()]
        return 200, {"running": running, "ended": list(self.ended[:500])}

    def finish(self, key, how):
        run = self.runs.pop(key)
        run["interval"][4], run["interval"][5] = time.monotonic(), how
        self.last_end += 1
        self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        if how != "crashed":
            self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.record.write(f"worker {self.number}: {run['interval'][2]} ends {key[0]} run {key[1]}: {how}")

    async def work(self):
        while True:
            await asyncio.sleep(0.004)
            now, lapsed = time.monotonic(), self.clock_ms() > self.lease_ms
            for key, run in list(self.runs.items()):
                if lapsed:
                    self.finish(key, "lapsed")
                elif now >= run["until"]:
                    self.finish(key, "stopped" if run["stop"] else "done")


def overlaps(workers, shortest_s=0.0):
    """Pairs of runs of one task that were at work at the same time on workers that were up."""
    by_task, found = {}, []
    for worker in workers:
        for interval in worker.intervals:
            by_task.setdefault(interval[0], []).append(interval)
    for task, intervals in by_task.items():
        intervals.sort(key=lambda interval: interval[3])
        for i, first in enumerate(intervals):
            for second in intervals[i + 1:]:
                until = min(first[4] or time.monotonic(), second[4] or time.monotonic())
                if until - second[3] > shortest_s:
                    found.append((task, first, second, until - second[3]))
    return found


class Process:
    """One foxwingd process, started as the deploy file says."""

    def __init__(self, fleet, name, text):
        self.fleet, self.name, self.text, self.process = fleet, name, text, None

    async def start(self):
        path = f"{self.fleet.folder}/{self.name}.toml"
        with open(path, "w") as file:
            file.write(self.text)
        self.text = self.text.replace("first_start = true", "first_start = false")
        self.log = open(f"{self.fleet.folder}/{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(daemon(), "--fleet", path, stdout=self.log,
                                                            stderr=self.log)
        self.fleet.record.write(f"{self.name} is started")

    def signal(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Fleet:
    """Three control hosts, some entries, and an agent beside each worker."""

    def __init__(self, record, entries=1, workers=3, capacity=16000, peer_proxies=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="foxwing-review-")
        # An address range and ports that nobody uses
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.used = set()
        seeds = [f"{self.net}.{10 + number}" for number in range(3)]
        self.inner_port = self.free_port(seeds[0])
        self.operator_port = self.free_port(seeds[0])
        self.seeds = [f"{seed}:{self.operator_port}" for seed in seeds]
        self.controls = [self.make_control(f"control-{n + 1}", seed) for n, seed in enumerate(seeds)]
        self.entries, self.agents, self.workers = [], [], []
        self.beat_proxies, self.order_proxies, self.peer_proxies = [], [], []
        for number in range(entries):
            self.make_entry(number)
        for number in range(workers):
            self.make_agent(number, capacity, peer_proxies)

    def free_port(self, ip):
        while True:
            with socket.socket() as probe:
                probe.bind((ip, 0))
                port = probe.getsockname()[1]
            if port not in self.used:
                self.used.add(port)
                return port

    def settings(self, name, role, ip, listen, rest=""):
        seeds = json.dumps(self.seeds)
        return (f'[node]\nname = "{name}"\nrole = "{role}"\ndata_centre = "{ZONE}"\nip = "{ip}"\n{rest}\n'
                f'[cluster]\ninner_port = {self.inner_port}\nseeds = {seeds}\nfirst_start = true\n'
                + ('tolerated_losses = 1\n' if role == "control" else "")
                + f'\n[listen]\n{listen}\n\n[timing]\nstop_grace_seconds = {GRACE_S}\n'
                f'resend_after_milliseconds = {int(RESEND_S * 1000)}\n')

    def make_control(self, name, ip):
        os.mkdir(f"{self.folder}/{name}")
        return Process(self, name, self.settings(
            name, "control", ip, f'control = "{ip}:{self.operator_port}"',
            f'data_folder = "{self.folder}/{name}"'))

    def make_entry(self, number):
        ip = f"{self.net}.{30 + number}"
        front, ready = f"{ip}:{self.free_port(ip)}", f"{ip}:{self.free_port(ip)}"
        process = Process(self, f"entry-{number + 1}", self.settings(
            f"entry-{number + 1}", "entry", ip, f'callers = "{front}"\nreadiness = "{ready}"'))
        process.front, process.ready = front, ready
        self.entries.append(process)

    def make_agent(self, number, capacity, peer_proxies):
        ip = f"{self.net}.{100 + number}"
        control, app = f"{ip}:{self.free_port(ip)}", f"{ip}:{self.free_port(ip)}"
        beat = Proxy(f"{ip}:{self.free_port(ip)}", control)
        orders = Proxy(f"{ip}:{self.free_port(ip)}", app)
        listen = f'control = "{control}"'
        if peer_proxies:
            inner = f"{self.net}.{160 + number}:{self.inner_port}"
            listen += f'\ninner = "{inner}"'
            self.peer_proxies.append(Proxy(f"{ip}:{self.inner_port}", inner))
        text = self.settings(f"agent-{number + 1}", "agent", ip, listen)
        text += f'\n[endpoint]\naddress = "{orders.listen}"\n'
        self.agents.append(Process(self, f"agent-{number + 1}", text))
        self.workers.append(Worker(number + 1, app, beat.listen, self.record, capacity))
        self.beat_proxies.append(beat)
        self.order_proxies.append(orders)

    async def start(self, **config):
        for proxy in self.beat_proxies + self.order_proxies + self.peer_proxies:
            await proxy.serve()
        for process in self.controls + self.entries + self.agents:
            await process.start()
        for worker in self.workers:
            await worker.begin()
        await self.configure(1, **config)
        await self.until_ready()

    async def configure(self, version, timeout_ms=1500, stretch=1.6, max_attempts=3):
        """Sends a configuration as the operator does, until it is acknowledged."""
        route = {"name": "q", "host": HOST, "path_prefix": PREFIX, "route_type": "unsafe",
                 "timeout_ms": timeout_ms, "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                 "max_attempts": max_attempts, "stretch": stretch}
        service = {"name": SERVICE, "health_path": "/health", "max_connections": 64, "protocol": "h1",
                   "tls": False, "enforces_capacity": False, "spare": False}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        body = json.dumps({"version": version, "routes": [route], "services": [service],
                           "limits": limits}).encode()
        for _ in range(100):
            answer = await call(random.choice(self.seeds), "PUT", "/config", body)
            if answer and answer[0] == 200:
                self.record.write(f"configuration {version} is acknowledged, timeout_ms {timeout_ms}")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the configuration was not taken")

    async def until_ready(self):
        """Until every entry is ready and a job gets through on every worker."""
        for entry in self.entries:
            for _ in range(100):
                answer = await call(entry.ready, "GET", "/ready")
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError("an entry did not become ready")
        await asyncio.sleep(1.0)

    async def submit(self, entry, work_s, tasks=1, cpu=1600, deadline_ms=2500, job=None, constraints="",
                     estimated_ms=None, timeout=None):
        """One attempt to hand in a best-effort job. Gives the status (0: no complete answer) and the body."""
        job = job or f"{random.getrandbits(64):016x}"
        step = {"count": tasks, "cpu": cpu, "mem_mb": 64,
                "estimated_ms": int(work_s * 1000) if estimated_ms is None else estimated_ms}
        if constraints:
            step["constraints"] = constraints
        body = json.dumps({"spec": json.dumps({"work_s": work_s}), "best_effort": True,
                           "steps": [step]}).encode()
        self.record.write(f"client: POST {job} to {entry.name}, {tasks} tasks of {work_s} s on {cpu} "
                          f"{constraints}")
        answer = await call(entry.front, "POST", PREFIX + job, body,
                            timeout=timeout or deadline_ms / 1000,
                            headers={"Request-Deadline": str(deadline_ms)})
        status, text = (answer[0], answer[2].decode()) if answer else (0, "")
        self.record.write(f"client: {job} is answered {status or 'not at all'} {text}")
        return job, status, text

    async def end(self):
        processes = [p for p in self.controls + self.entries + self.agents if p.process]
        for process in processes:
            if process.process.returncode is None:
                process.process.kill()
        for process in processes:
            await process.process.wait()
            process.log.close()
        for worker in self.workers:
            worker.crash()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, limit_s=110):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {int(trouble)}")

    async def bounded():
        fleets = []
        part = asyncio.ensure_future(case(record, trouble, fleets))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, part.cancel)
        try:
            return await asyncio.wait_for(part, limit_s)
        finally:
            for fleet in fleets:
                await fleet.end()

    try:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        happened = loop.run_until_complete(bounded())
    except asyncio.CancelledError:
        record.write("stopped by a signal")
        return 2
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {error!r}")
        print("could not run:", repr(error))
        return 2
    if not happened:
        record.write("could not run: what the case needs did not come about")
        print("could not run: what the case needs did not come about")
        return 2
    record.write(f"rule broken: {len(record.broken)} times")
    print("rule broken:", len(record.broken), "times")
    return 1 if record.broken else 0
