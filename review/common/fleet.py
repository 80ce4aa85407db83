"""Starts control instances and proxies on loopback addresses, as the deploy file says.

Settings come from the templates that the deploy file names, filled in as the platform does.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "contact_window_ms": 5000, "ack_timeout_ms": 6000,
          "catch_up_s": 4, "drain_ms": 7000, "grace_period_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 15000,
          "recovery_s": 12, "fencing_enforced": True, "thaw_ms": 300}


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what):
        self.file.write(f"{self.now():9.4f} {who} {what}\n")

    def close(self):
        self.file.close()


def look_up(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def render(template, fields):
    """Fills in a template: values, |json and sections, as the platform's pages define them."""

    def section(match):
        value = look_up(fields, match.group(1))
        body = match.group(2)
        if isinstance(value, dict):
            return "".join(body.replace("{{@}}", str(key)).replace("{{.}}", str(each))
                           for key, each in value.items())
        if isinstance(value, list):
            return "".join(body.replace("{{.}}", str(each)) for each in value)
        return body if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def value_of(match):
        value = look_up(fields, match.group(1))
        if match.group(2) or isinstance(value, bool):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


def free_port(used=set()):
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


class Fleet:
    def __init__(self, record, platform_address, controls=3, proxies=2, tolerated=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="oleanderledge-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        block = 20 + os.getpid() % 200
        first = free_port()
        self.ports = {"first": first, "second": free_port(), "front": free_port(),
                      "ready": free_port(), "control": free_port()}
        self.nodes = {}
        control_ips = [f"127.{block}.1.{11 + index}" for index in range(controls)]
        proxy_ips = [f"127.{block}.2.{11 + index}" for index in range(proxies)]
        self.control_addresses = [f"{ip}:{self.ports['control']}" for ip in control_ips]
        zones = ["sf-workshop", "pos-counter", "scar-store"]
        regions = {"sf-workshop": "south-trinidad", "pos-counter": "north-trinidad",
                   "scar-store": "tobago"}
        self.seeds = self.control_addresses[:3]
        for role, ips in (("control", control_ips), ("proxy", proxy_ips)):
            for index, ip in enumerate(ips):
                zone = zones[index % 3]
                name = f"{role}-{index + 1}"
                self.nodes[name] = {
                    "node_name": name, "role": role, "ip_address": ip, "zone": zone,
                    "region": regions[zone],
                    "machine_class": "core" if role == "control" else "frontend",
                    "internal_port_range": [self.ports["first"], self.ports["second"]],
                    "seed_nodes": self.seeds, "bootstrap": True,
                    "heartbeat_interval_ms": 1200, "zones": regions,
                    "listen_addresses": {"frontend": f"{ip}:{self.ports['front']}",
                                         "readiness": f"{ip}:{self.ports['ready']}",
                                         "control_plane": f"{ip}:{self.ports['control']}"},
                    "fault_tolerance": {"machines": tolerated, "zones": 0, "regions": 0},
                    "bounds": BOUNDS, "cloud_provider": {"address": platform_address},
                    "data_directory": os.path.join(self.folder, name + "-data")}
        self.processes = {}

    def address(self, name, what="frontend"):
        return self.nodes[name]["listen_addresses"][what]

    def start(self, name):
        node = self.nodes[name]
        role = self.roles[node["role"]]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), node)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = role["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.access(command[0], os.X_OK):
            raise CannotRun("the program is not built: " + role["run"].split()[0])
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "LANG": "C.UTF-8", "OLEANDERLEDGE_CONFIG": path}
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                                stderr=log, stdin=subprocess.DEVNULL)
        node["bootstrap"] = False
        self.record.add(name, "started")

    def start_all(self, but=()):
        for name in self.nodes:
            if name not in but:
                self.start(name)
        for name in but:
            self.nodes[name]["bootstrap"] = False

    def lose_disk(self, name):
        """The data folder of a process that does not run is empty when it starts again."""
        self.record.add(name, "has lost its disk")
        shutil.rmtree(self.nodes[name]["data_directory"], ignore_errors=True)

    def signal(self, name, number):
        self.record.add(name, "gets " + signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def is_running(self, name):
        return self.processes[name].poll() is None

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
