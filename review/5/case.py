"""A worker is lost for good while tasks that last fill most of the others."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import standin  # noqa: E402

WORKERS = 7
FULL_TASKS = 30
SETTLE_SECONDS = 20.0
WATCH_SECONDS = 40.0


async def case(site: standin.Site) -> list[str]:
    """Lose one worker, then hand in one small task that lasts; return it if it doesn't begin."""
    workers = [standin.Worker(site, f"w{number}") for number in range(WORKERS)]
    async with site.running(workers):
        full = {"count": FULL_TASKS, "cpu": 3000, "memMb": 1000, "longRunning": True}
        await site.submit(standin.submission({"cpu": 3000, "mem": 1000}, full), "lasting")
        await asyncio.sleep(3.0)
        if standin.trouble_is_on():
            workers[-1].crash()
        await asyncio.sleep(SETTLE_SECONDS)
        step = {"count": 1, "cpu": 500, "memMb": 100, "longRunning": True}
        job = await site.submit(standin.submission({"cpu": 500, "mem": 100}, step), "lasting")
        ends_at = asyncio.get_running_loop().time() + WATCH_SECONDS
        while asyncio.get_running_loop().time() < ends_at and not has_begun(site, job):
            await asyncio.sleep(0.5)
        state = await site.state(job, "lasting")
        free = {
            worker.name: worker.cpu - sum(run.cpu for run in worker.running.values())
            for worker in workers
            if worker.is_up
        }
    site.record.note("at the end", job=job, state=state, free_cpu=free)
    if has_begun(site, job):
        return []
    return [
        f"{job}: accepted, {state}, and not begun for {WATCH_SECONDS} s; it needs 500 of cpu, "
        f"free are {free}"
    ]


def has_begun(site: standin.Site, job: str) -> bool:
    """Return whether a task of the submission has been started."""
    return any(line["task"].startswith(job) for line in site.record.of("run"))


standin.main(case, str(FOLDER))
