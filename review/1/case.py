"""An entry of another writer that can't be read, and a planned rolling restart."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case, fleet, record  # noqa: E402

VMS_PER_ZONE = 1
# Half of a character of four bytes, as a writer leaves it that cuts texts after a
# number of UTF-16 units. The bytes are not valid UTF-8.
UNREADABLE = b"\xed\xa0\xbd"
KEY = "servers/notes-0f"
ENTRY = (
    b'{"service":"notes-' + UNREADABLE + b'","address":"127.0.0.1:9","zone":"zone-a",'
    b'"version":"v1","concurrency":2,"state":"ready","cold_remaining_ms":0,'
    b'"sequence":1,"born":1764800000000}'
)
# A day counts 0 when on so many machines processes end by themselves so often.
MACHINES = 2
OWN_ENDS = 3


async def run(log: record.Record, folder: pathlib.Path, trouble: bool) -> bool:
    """Run the case; return whether the rule is broken."""
    deployment = fleet.Deployment(log, folder, VMS_PER_ZONE)
    try:
        await deployment.start()
        await deployment.start_load(3)
        await asyncio.sleep(5)
        if trouble:
            deployment.store.put(KEY, ENTRY)
            log.say("foreign_entry", key=KEY, value=ENTRY)
        await asyncio.sleep(3)
        before = deployment.results(0, log.elapsed_s())
        for vm in deployment.vms:
            await vm.stop()
            vm.start()
            await asyncio.sleep(4)
        restarted_s = log.elapsed_s()
        await asyncio.sleep(12)
        after = deployment.results(restarted_s, log.elapsed_s() - 3)
        log.say("requests_before_restarts", results=before)
        log.say("requests_after_restarts", results=after)
        for vm in deployment.vms:
            name = vm.addresses.name
            log.say("ends_by_itself", vm=name, starts=vm.starts, codes=vm.own_ends)
            log.say("last_line", vm=name, text=vm.last_output(1))
        return sum(len(vm.own_ends) >= OWN_ENDS for vm in deployment.vms) >= MACHINES
    finally:
        await deployment.close()


if __name__ == "__main__":
    sys.exit(case.execute(FOLDER, run))
