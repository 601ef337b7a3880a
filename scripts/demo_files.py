#!/usr/bin/env python3
"""Generates the files of the demo from examples/: settings with loopback addresses and ephemeral ports, and the VM list.

demo_files.py settings EXAMPLE FOLDER KEY_VALUE VM_LIST NAME=ENDPOINT...   writes FOLDER/NAME.json for every example
demo_files.py vms EXAMPLE FOLDER VM_LIST                                    publishes the processes in the VM list
demo_files.py routes EXAMPLE                                                prints ROUTE=ADAPTER@VERSION lines
demo_files.py calls KEY_VALUE                                               prints the number of counted calls
demo_files.py services EXAMPLE                                              prints "keyed NAME" or "lookup NAME" lines
"""
import json
import pathlib
import sys
import urllib.request


def example_settings(example):
    for path in sorted(pathlib.Path(example, "settings").glob("*.json")):
        yield json.loads(path.read_text())


def write_settings(example, folder, key_value, vm_list, *endpoints):
    """Writes the settings of the example, adapted to one machine: addresses, ports and timing."""
    by_name = dict(pair.split("=", 1) for pair in endpoints)
    for settings in example_settings(example):
        name = settings["name"]
        for part in ("control", "http"):
            settings[part] = {"address": "127.0.0.1", "portFile": f"{folder}/{name}.{part}.port"}
        settings["platform"].update(keyValue=[key_value], vmList=vm_list)
        settings["timing"] = {"heartbeatMs": 200, "suspectMs": 5000, "vmListMs": 500}
        settings["log"] = {"file": f"{folder}/{name}.log"}
        if settings["role"] == "sidecar":
            settings["sidecar"]["endpoint"] = by_name[name]
            settings["sidecar"].pop("lock", None)
            # Loads of the stand-ins take less than a second, so a new sidecar waits only briefly for earlier orders.
            settings["sidecar"]["orderTimeoutMs"] = 5000
        pathlib.Path(folder, f"{name}.json").write_text(json.dumps(settings, indent=2))


def tell_vms(example, folder, vm_list):
    vms = []
    for settings in example_settings(example):
        name = settings["name"]
        port = pathlib.Path(folder, f"{name}.control.port").read_text().strip()
        vms.append({"name": name, "role": settings["role"], "state": "live", "dataCentre": settings["dataCentre"],
                    "region": settings["region"], "address": f"127.0.0.1:{port}"})
    request = urllib.request.Request(vm_list, json.dumps({"vms": vms}).encode(), method="POST")
    urllib.request.urlopen(request, timeout=30).read()


def records(example):
    for path in sorted(pathlib.Path(example, "records").glob("*.json")):
        yield from json.loads(path.read_text())


def print_routes(example):
    for record in records(example):
        route = record.get("route", record if record.get("kind") == "route" else None)
        if route:
            print(f"{record['name']}={route['adapter']}@{route['version']}")


def print_services(example):
    for record in records(example):
        if "service" in record:
            print("lookup" if record["service"].get("idempotent") else "keyed", record["name"])
        elif record.get("kind") == "service":
            print("lookup" if record.get("repeatable") else "keyed", record["name"])


def print_calls(key_value):
    print(json.load(urllib.request.urlopen(f"{key_value}/standin", timeout=30))["calls"])


COMMANDS = {"settings": write_settings, "vms": tell_vms, "routes": print_routes, "services": print_services,
            "calls": print_calls}
COMMANDS[sys.argv[1]](*sys.argv[2:])
