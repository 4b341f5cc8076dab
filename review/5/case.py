"""A runner leaves while the store cuts watches that wait; clients send bookings all the while."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

DRAIN_S = s.BOUNDS["drain_ms"] / 1000
# At this interval the watches that wait are cut.
CUT_EVERY_S = 1.0
# The runner serves on for `drain_ms` and this much longer, and then exits.
LONGER_S = 3.0
# More than two runners have slots for, so that each of the three is in use.
CLIENTS = 18


async def case(folder, record, trouble, temporary):
    store = s.Store(record)
    await store.start()
    await store.put("op/config", s.configuration(1))
    runners = [s.Runner(record, f"p{number}", "plain", slots=6, work_s=0.3) for number in range(3)]
    beats = {}
    for runner in runners:
        await runner.start()
        beats[runner.name] = asyncio.create_task(runner.beat(store))
    gateways = [s.Gateway(record, temporary, f"g{number}", store.target, number) for number in range(2)]
    try:
        if trouble:
            store.cut_watches_every = CUT_EVERY_S
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise s.CannotRun("a gateway does not become ready")
        sent, lost, tasks = {}, [], []
        is_over = False

        async def client(number):
            count = 0
            while not is_over:
                attempt = f"b{number}-{count}"
                count += 1
                gateway = gateways[(number + count) % len(gateways)]
                sent[attempt] = time.monotonic()
                record.add("sent", id=attempt, gateway=gateway.name)
                answer = await gateway.call("POST", "/booking/x", s.request_headers(attempt, budget_ms=3000), b"book")
                record.add("answered", id=attempt, status=answer.status, whole=answer.is_whole)
                if answer.status not in (200, 503) or not answer.is_whole:
                    lost.append(attempt)
                await asyncio.sleep(0.1)

        tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        # Longer than `stable_ms` after the starts.
        await asyncio.sleep(5.0)
        leaver = runners[0]
        beats[leaver.name].cancel()
        await store.delete(f"servers/{leaver.name}")
        gone = time.monotonic()
        record.add("entry-removed", runner=leaver.name)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        await leaver.stop()
        record.add("exited", runner=leaver.name, at_work=leaver.at_work)
        await asyncio.sleep(3.0)
        is_over = True
        await asyncio.gather(*tasks)
        late = [run["id"] for run in leaver.runs if sent[run["id"]] > gone + DRAIN_S]
        others = sum(len(runner.runs) for runner in runners[1:])
        record.add("judged", late=len(late), lost=len(lost), lost_ids=",".join(lost), runs_elsewhere=others)
        print(f"{len(late)} requests sent later than drain_ms after the removal ran at the runner; {len(lost)} bookings"
              " ended without the runner's answer")
        return not late
    finally:
        for gateway in gateways:
            gateway.kill()
        for beat in beats.values():
            beat.cancel()


s.main(case)
