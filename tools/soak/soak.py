#!/usr/bin/env python3
"""A soak test: the real programs as separate processes on one host, with injected faults.

    tools/soak/soak.py --daemon build/apps/foxwingd --seed 1 --seconds 20

Agents and control hosts listen behind proxies on loopback that can delay traffic, reset connections, or
block one or both directions. Faults overlap: processes are killed, terminated, paused and restarted; entries
run slowly; proxies disturb connections; endpoints crash and hang; catalogs change. Callers resend a job after
a broken connection. Invariants are checked during the run, from what callers, operators and endpoints see:

- the capacity of an endpoint is never exceeded, and a task never has two runs at once;
- "completed" means that each task of the job ended as done; "not run" that none started for that call;
- a catalog that was acknowledged is never read back older, and is still there at the end;
- when the faults are over, all jobs are served.

The exit code is the result. A seed repeats its faults, although the timing of the host differs. Logs of
the processes are kept under --folder. Only processes that were started here are ended, by their ids.
"""
import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../platform"))
import standins  # noqa: E402

ENTRIES, AGENTS, CONTROLS = 3, 5, 5
CAPACITY = 8000
RESEND_S = 1.3
INNER_PORT = 7720

# A slow entry is stopped except for the last part of each period.
SLOW_PERIOD_S, SLOW_RUNS_S = 0.04, 0.006

# Below the event loop lag of a slow entry, and above the lag of one that shares its host with the whole fleet.
WITHDRAW_ABOVE_MS = 10

# After this time a process has started up and handles signals, even on a busy host.
STARTUP_S = 0.7


class Ledger:
    """Records what endpoints ran, and checks invariants."""

    def __init__(self):
        self.running, self.used, self.done, self.start_times = {}, {}, set(), {}
        self.violations, self.starts = [], 0

    def violate(self, what):
        self.violations.append(f"{time.monotonic() - STARTED_AT:.3f} s: {what}")
        print("VIOLATION", self.violations[-1], flush=True)

    def endpoint_emptied(self, endpoint):
        self.used[endpoint] = {}
        self.running = {task: at for task, at in self.running.items() if at != endpoint}

    def began(self, endpoint, key, cores, capacity):
        self.starts += 1
        self.used[endpoint][key] = cores
        self.start_times.setdefault(key[0].split(".")[0], []).append(time.monotonic())
        if key[0] in self.running:
            self.violate(f"two runs of {key[0]}")
        self.running[key[0]] = endpoint
        if sum(self.used[endpoint].values()) > capacity:
            self.violate(f"capacity exceeded at endpoint {endpoint}")

    def ended(self, endpoint, key, outcome):
        self.used[endpoint].pop(key, None)
        self.running.pop(key[0], None)
        if outcome == "done":
            self.done.add(key[0])


class Proxy:
    """Forwards the connections of one listener. mode: pass, silent, oneway, or delay."""

    def __init__(self, listen, target):
        self.listen, self.target, self.mode, self.pairs = listen, target, "pass", set()

    async def serve(self):
        host, port = self.listen.split(":")
        await asyncio.start_server(self.connection, host, int(port), backlog=512)

    async def connection(self, reader, writer):
        host, port = self.target.split(":")
        try:
            if self.mode == "silent":
                await asyncio.sleep(3)
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.pairs.add((writer, target_writer))
        await asyncio.gather(self.pump(reader, target_writer, "in"),
                             self.pump(target_reader, writer, "out"))
        self.pairs.discard((writer, target_writer))

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(random.uniform(0.01, 0.15))
                while self.mode == "silent" or (self.mode == "oneway" and direction == "out"):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        # When one direction ends, the other one does too, as after a reset.
        writer.transport.abort()

    def reset(self):
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()


class Process:
    """One foxwingd process and its settings."""

    def __init__(self, daemon, folder, role, number, seeds, block):
        self.daemon, self.folder, self.role, self.number = daemon, folder, role, number
        self.name, self.seeds, self.first = f"{role}-{number}", seeds, True
        code = block + {"entry": 1, "agent": 2, "control": 3}[role]
        self.ip, self.inner_ip = f"127.{code}.1.{number}", f"127.{code}.2.{number}"
        self.port = f"{self.inner_ip}:8161"
        self.endpoint = f"127.{block + 4}.1.{number}:8165"
        self.process, self.paused, self.incarnation = None, False, 0
        self.policy = ""
        self.on_start = lambda: None

    def settings(self):
        listen = {"entry": f'callers = "{self.port}"\nreadiness = "{self.inner_ip}:8167"',
                  "agent": f'control = "{self.port}"\n\n[endpoint]\naddress = "{self.endpoint}"',
                  "control": f'control = "{self.port}"'}[self.role]
        data = f'data_folder = "{self.folder}/{self.name}"\n' if self.role == "control" else ""
        seeds = ", ".join(f'"{seed}:8161"' for seed in self.seeds)
        return (f'[node]\nname = "{self.name}"\nrole = "{self.role}"\nip = "{self.ip}"\n{data}\n'
                f'[cluster]\ninner_port = {INNER_PORT}\nseeds = [{seeds}]\n'
                f'first_start = {"true" if self.first else "false"}\n\n[listen]\n'
                f'inner = "{self.inner_ip}:{INNER_PORT}"\n{listen}\n{self.policy}')

    async def start(self):
        os.makedirs(f"{self.folder}/{self.name}", exist_ok=True)
        path = f"{self.folder}/{self.name}.toml"
        with open(path, "w") as file:
            file.write(self.settings())
        self.first, self.incarnation = False, self.incarnation + 1
        self.on_start()
        self.started_at = time.monotonic()
        self.log = open(f"{self.folder}/{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.daemon, "--fleet", path, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number, pause):
        """Sends the signal, waits for the process to end, and starts it again."""
        self.signal(signal.SIGCONT)
        if number != signal.SIGKILL:
            # Until a process has installed its signal handling, SIGTERM ends it at once.
            await asyncio.sleep(max(0, self.started_at + STARTUP_S - time.monotonic()))
        self.signal(number)
        if number != signal.SIGKILL:
            try:
                await asyncio.wait_for(self.process.wait(), 8)
            except asyncio.TimeoutError:
                ledger.violate(f"{self.name} did not end within its grace period")
                self.signal(signal.SIGKILL)
        await self.process.wait()
        if number != signal.SIGKILL and self.process.returncode not in (0, -signal.SIGKILL):
            ledger.violate(f"{self.name} ended with {self.process.returncode}")
        await asyncio.sleep(pause)
        await self.start()


class Soak:
    def __init__(self, options, folder):
        self.random = random.Random(options.seed)
        self.seconds, self.folder = options.seconds, folder
        block = 10 * options.block
        seeds = [f"127.{block + 3}.1.{number}" for number in (1, 2, 3)]

        def make(role, count):
            return [Process(options.daemon, folder, role, number + 1, seeds, block)
                    for number in range(count)]

        self.entries, self.agents = make("entry", options.entries), make("agent", options.agents)
        self.controls = make("control", CONTROLS)
        # For about half of the seeds, entries use a subset of the agents. A separate generator keeps
        # the other draws of a seed unchanged.
        subset = random.Random(options.seed).choice([0, max(1, options.agents // 3)])
        for entry in self.entries:
            entry.policy = (f"\n[policy]\nstand_back_above_milliseconds = {WITHDRAW_ABOVE_MS}\n"
                            + (f"subset_size = {subset}\nentries_per_agent = 1\n" if subset else ""))
        self.endpoints = [standins.Endpoint(agent.number, agent.endpoint, agent.port, ledger, CAPACITY)
                          for agent in self.agents]
        for agent, endpoint in zip(self.agents, self.endpoints):
            agent.on_start = endpoint.agent_began
        self.all = self.entries + self.agents + self.controls
        self.proxies = {p.name: Proxy(f"{p.ip}:{INNER_PORT}", f"{p.inner_ip}:{INNER_PORT}")
                        for p in self.agents + self.controls}
        self.busy, self.counts = set(), {}
        self.version, self.acknowledged, self.jobs = 0, 0, 0
        # Another separate generator, for slow entries
        self.slowed, self.slow_random = set(), random.Random(options.seed)
        self.stopping = False

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # Callers

    async def caller(self):
        while not self.stopping:
            asyncio.ensure_future(self.job())
            await asyncio.sleep(self.random.uniform(0.02, 0.12))

    async def job(self):
        self.jobs += 1
        job = f"{self.jobs:016x}"
        tasks, cores = self.random.randint(1, 6), self.random.randint(800, 2000)
        work_s, first = self.random.uniform(0.05, 0.8), True
        for _ in range(4):
            entry = self.random.choice(self.entries)
            outcome = await standins.submit(entry.port, job, tasks, cores, work_s)
            if outcome != "unknown":
                break
            first = False
            await asyncio.sleep(RESEND_S)
        self.count(outcome)
        names = [f"{job}.0.0.{index}" for index in range(tasks)]
        if outcome == "completed" and not all(name in ledger.done for name in names):
            ledger.violate(f"job {job} completed without all its tasks")
        if outcome == "not-run" and first and job in ledger.start_times:
            ledger.violate(f"job {job} was reported as not run, but it started")
        return outcome

    # Operators

    async def operator(self):
        while not self.stopping:
            self.version += self.random.randint(1, 3)
            version, known = self.version, self.acknowledged
            control = self.random.choice(self.controls)
            answer = await standins.declare(control.port, version)
            if answer is False:
                ledger.violate(f"catalog {version} was refused")
            if answer:
                self.acknowledged = max(self.acknowledged, version)
                self.count("catalogs acknowledged")
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            known = self.acknowledged
            read = await standins.read_version(self.random.choice(self.controls).port)
            if read is not None and read < known:
                ledger.violate(f"catalog {read} was read after {known} was acknowledged")

    # Faults

    async def faults(self):
        kinds = [self.kill, self.kill, self.terminate, self.pause, self.partition, self.partition, self.reset,
                 self.delay, self.crash_endpoint, self.hang_endpoint, self.kill_many]
        while not self.stopping:
            asyncio.ensure_future(self.random.choice(kinds)())
            await asyncio.sleep(self.random.uniform(0.3, 1.5))

    def pick(self, among):
        """A process without a fault. At most two control hosts have a fault at a time."""
        free = [p for p in among if p.name not in self.busy | self.slowed]
        lost = sum(1 for p in self.controls if p.name in self.busy)
        free = [p for p in free if p.role != "control" or lost < 2]
        return self.random.choice(free) if free else None

    async def with_fault(self, name, among, inject):
        process = self.pick(among)
        if process:
            self.count(name)
            self.busy.add(process.name)
            await inject(process)
            self.busy.discard(process.name)

    async def kill(self):
        pause = self.random.uniform(0.05, 2)
        await self.with_fault("kill", self.all, lambda p: p.restart(signal.SIGKILL, pause))

    async def terminate(self):
        await self.with_fault("terminate", self.all, lambda p: p.restart(signal.SIGTERM, 0.2))

    async def pause(self):
        async def inject(process):
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.1, 3))
            process.signal(signal.SIGCONT)
        await self.with_fault("pause", self.all, inject)

    async def slow(self):
        """Lets an entry run in short slices only, as with a small share of a processor."""
        process, end = self.slow_random.choice(self.entries), time.monotonic() + self.slow_random.uniform(1, 5)
        if process.name in self.busy:
            return
        self.count("slow")
        self.slowed.add(process.name)
        while time.monotonic() < end:
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(SLOW_PERIOD_S - SLOW_RUNS_S)
            process.signal(signal.SIGCONT)
            await asyncio.sleep(SLOW_RUNS_S)
        self.slowed.discard(process.name)

    async def slow_entries(self):
        while not self.stopping:
            await asyncio.sleep(self.slow_random.uniform(1, 4))
            await self.slow()

    async def set_proxy_mode(self, name, mode):
        async def inject(process):
            self.proxies[process.name].mode = mode
            await asyncio.sleep(self.random.uniform(0.2, 3))
            self.proxies[process.name].mode = "pass"
            self.proxies[process.name].reset()
        await self.with_fault(name, self.agents + self.controls, inject)

    async def partition(self):
        mode = self.random.choice(["silent", "oneway"])
        await self.set_proxy_mode(mode, mode)

    async def delay(self):
        await self.set_proxy_mode("delay", "delay")

    async def reset(self):
        async def inject(process):
            self.proxies[process.name].reset()
        await self.with_fault("reset", self.agents + self.controls, inject)

    async def crash_endpoint(self):
        """Every other incarnation keeps the id, and reports a second later that it leaves."""
        self.count("endpoint crash")
        endpoint = self.random.choice(self.endpoints)
        endpoint.new_life(same_id=endpoint.lives % 2 == 1)
        lives = endpoint.lives
        if lives % 2 == 1 or endpoint.leaving:
            return
        await asyncio.sleep(1)
        if endpoint.lives != lives:
            return
        self.count("endpoint leaves")
        endpoint.leaving = True
        await endpoint.report()
        await asyncio.sleep(2)
        if endpoint.lives == lives:
            endpoint.new_life(same_id=True)

    async def hang_endpoint(self):
        self.count("endpoint hang")
        endpoint = self.random.choice(self.endpoints)
        endpoint.hangs = True
        await asyncio.sleep(self.random.uniform(0.3, 2))
        endpoint.hangs = False

    async def kill_many(self):
        """Kills all control hosts, or all processes, at once."""
        if self.random.random() < 0.7 or self.busy:
            return
        self.count("herd kill")
        victims = self.random.choice([self.controls, self.all])
        self.busy.update(p.name for p in victims)
        await asyncio.gather(*(p.restart(signal.SIGKILL, self.random.uniform(0, 0.5)) for p in victims))
        self.busy.difference_update(p.name for p in victims)

    # Sequence of a run

    async def settle(self):
        for _ in range(100):
            if not self.busy and await standins.read_version(self.controls[0].port) is not None:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def run(self):
        for part in list(self.proxies.values()) + self.endpoints:
            await part.serve()
        await asyncio.gather(*(process.start() for process in self.all))
        while self.acknowledged == 0:
            self.version = 1
            if await standins.declare(self.controls[0].port, 1):
                self.acknowledged = 1
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        tasks = [asyncio.ensure_future(part()) for part in (self.caller, self.operator, self.faults,
                                                            self.slow_entries)]
        await asyncio.sleep(self.seconds)
        self.stopping = True
        await asyncio.gather(*tasks)
        await self.settle()
        # Sequentially: there is always capacity for a single job, so none may be refused.
        outcomes = [await self.job() for _ in range(8)]
        if any(outcome != "completed" for outcome in outcomes):
            ledger.violate(f"after the faults jobs ended as {outcomes}")
        read = await standins.read_version(self.controls[0].port)
        if read is None or read < self.acknowledged:
            ledger.violate(f"at the end catalog {read} is read, {self.acknowledged} was acknowledged")
        for process in self.all:
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.process.wait() for process in self.all))


def main():
    parser = argparse.ArgumentParser(description="Runs a fleet of real processes under injected faults")
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--block", type=int, default=0, choices=range(20),
                        help="number of the loopback address range, so that several runs can be parallel")
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--agents", type=int, default=AGENTS, help="100 make some 120 processes")
    parser.add_argument("--folder", help="keeps the logs; default: a temporary folder, deleted on success")
    options = parser.parse_args()
    folder = options.folder or tempfile.mkdtemp(prefix="foxwing-soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(options, os.path.abspath(folder))
    asyncio.get_event_loop().run_until_complete(soak.run())
    print(f"seed {options.seed}: {soak.jobs} jobs, {ledger.starts} starts, {soak.counts}, "
          f"{len(ledger.violations)} violations; logs in {folder}")
    if not ledger.violations and not options.folder:
        shutil.rmtree(folder)
    return 1 if ledger.violations else 0


STARTED_AT = time.monotonic()
ledger = Ledger()
if __name__ == "__main__":
    sys.exit(main())
