"""HTTP server, announcements and reports of stand-in workers.

``python -m standins.host`` runs many workers in one process.
"""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import json  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import urllib3  # noqa: E402
from eventlet import wsgi  # noqa: E402
from eventlet.event import Event  # noqa: E402
from werkzeug.wrappers import Request, Response  # noqa: E402

from .record import ExecutionRecord  # noqa: E402
from .worker import Behaviour, NotOwner, RequestRejected, Worker, WorkerSpec  # noqa: E402

ANNOUNCE_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 2.0
REPORT_DELAY_SECONDS = 0.02


class WorkerApplication:
    """The WSGI callable that answers an owner's calls to one stand-in worker."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        return self._response(Request(environ))(environ, start_response)

    def _response(self, request: Request) -> Response:
        try:
            return self._answer(request)
        except NotOwner as error:
            return Response(str(error), 409, {"Savoryshelf-Not-Run": str(error)})
        except RequestRejected as error:
            return Response(str(error), 503, {"Savoryshelf-Not-Run": str(error)})
        except RuntimeError as error:
            return Response(str(error), 500)

    def _answer(self, request: Request) -> Response:
        worker, headers = self.worker, request.headers
        worker.require_incarnation(
            headers.get("Savoryshelf-Worker"), headers.get("Savoryshelf-Incarnation")
        )
        body = request.get_data()
        if request.path == "/v1/adopt":
            call = json.loads(body)
            return _json(
                worker.adopt(
                    call["epoch"], call["owner_url"], call["lease_s"], call["report_interval_s"]
                )
            )
        worker.require_epoch(int(headers["Savoryshelf-Epoch"]))
        if request.path.startswith("/v1/services/"):
            demand = tuple(float(each) for each in headers["Savoryshelf-Size"].split(";"))
            answer = worker.run_critical(
                headers["Savoryshelf-Request-Id"], body, (demand[0], demand[1])
            )
            return Response(answer, content_type=request.content_type)
        if request.path == "/v1/tasks":
            return self._start(request, body)
        call = json.loads(body)
        attempt_id = (call["job_id"], int(call["attempt"]))
        if request.path == "/v1/tasks/stop":
            worker.stop(attempt_id, call["checkpoint"])
            return _json({})
        if request.path == "/v1/tasks/throttle":
            worker.set_throttle(attempt_id, float(call["share"]))
            return _json({})
        if request.path == "/v1/tasks/settle":
            return _json({"known": worker.settle(attempt_id)})
        return Response("no such path", 404)

    def _start(self, request: Request, body: bytes) -> Response:
        headers = request.headers
        cores, memory_mb, accelerators = headers["Savoryshelf-Size"].split(";")
        self.worker.start(
            (headers["Savoryshelf-Job"], int(headers["Savoryshelf-Attempt"])),
            headers["Savoryshelf-Class"],
            body,
            (float(cores), float(memory_mb), int(accelerators)),
            headers["Savoryshelf-Checkpoint"],
        )
        return Response("", 202)


class WorkerHost:
    """Serves one stand-in worker on its own port, and reports to its owner."""

    def __init__(
        self,
        worker: Worker,
        ip: str,
        entry_urls: list[str],
        token: str,
        port: int = 0,
        first_announcement_s: float | None = None,
    ):
        self.worker = worker
        self._first_announcement_s = first_announcement_s
        self._entry_urls = entry_urls
        self._headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        self._http = urllib3.PoolManager(retries=False, timeout=REPORT_TIMEOUT_SECONDS)
        self._listener = eventlet.listen((ip, port))
        worker.url = f"http://{ip}:{self._listener.getsockname()[1]}"
        self.threads = [
            eventlet.spawn(
                wsgi.server, self._listener, WorkerApplication(worker), log_output=False
            ),
            eventlet.spawn(self._announce_and_report),
        ]

    def kill(self) -> None:
        """Stop at once with all running tasks, as in a host failure."""
        for thread in self.threads:
            thread.kill()
        for task in self.worker.running():
            task.thread.kill()
        self._listener.close()
        worker = self.worker
        worker.record.write("died", worker.spec.worker_id, incarnation=worker.incarnation)

    # ------------------------------------------------------------ as a client

    def _announce_and_report(self) -> None:
        """Announce until adopted, then report; stop all tasks when the lease has expired."""
        worker = self.worker
        first_s = self._first_announcement_s
        eventlet.sleep(random.uniform(0, ANNOUNCE_SECONDS / 2) if first_s is None else first_s)
        while True:
            if worker.owner_url:
                self._report()
            else:
                self._post(random.choice(self._entry_urls) + "/v1/targets", worker.announcement())
            if time.monotonic() > worker.lease_deadline:
                worker.stop_all("lease ran out")
            if time.monotonic() > worker.owner_deadline:
                worker.owner_url = ""
            self._wait()

    def _wait(self) -> None:
        """Wait until a report or announcement is due; at once after an end or an adoption."""
        worker = self.worker
        seconds = worker.report_interval_s if worker.owner_url else ANNOUNCE_SECONDS
        if any(task.state != "running" for task in worker.task_by_attempt_id.values()):
            # An ended attempt is unacknowledged: the owner may still be reporting it to control.
            seconds = min(seconds, 0.2)
        with eventlet.Timeout(seconds * random.uniform(0.9, 1.1), False):
            worker.report_due.wait()
            eventlet.sleep(REPORT_DELAY_SECONDS)
        if worker.report_due.ready():
            worker.report_due = Event()

    def _report(self) -> None:
        worker = self.worker
        requested_at, owner_url = time.monotonic(), worker.owner_url
        url = f"{owner_url}/v1/targets/{worker.spec.worker_id}/report"
        status, reply = self._post(url, worker.report())
        if status == 200:
            worker.renew_lease(requested_at, reply)
        elif status == 409 and worker.owner_url == owner_url:
            # The host no longer owns the worker: announce, so that a new owner adopts it.
            self._post(random.choice(self._entry_urls) + "/v1/targets", worker.announcement())

    def _post(self, url: str, content: dict) -> tuple[int, dict]:
        """Return the status and decoded reply; (0, {}) if the call failed."""
        try:
            response = self._http.request(
                "POST", url, body=json.dumps(content), headers=self._headers
            )
            return response.status, json.loads(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return 0, {}


def _json(content: dict) -> Response:
    return Response(json.dumps(content), content_type="application/json")


@click.command()
@click.option("--count", default=4, help="Number of workers.")
@click.option("--ip", default="127.0.0.1", help="Address on which all workers listen.")
@click.option("--first", default=0, help="Number of the first worker, as in its id.")
@click.option("--port", default=0, help="Port of the first worker, others follow; 0 for any port.")
@click.option(
    "--first-announcement-s", type=float, help="Seconds from listening to the first announcement."
)
@click.option("--entries", required=True, help="URLs of entry hosts, separated by commas.")
@click.option("--token", required=True, help="Token with the role of a target.")
@click.option(
    "--record", "record_path", required=True, help="File to append the execution record to."
)
@click.option("--domains", default="fd-1,fd-2,fd-3", help="Failure domains, separated by commas.")
@click.option("--per-rack", default=10)
@click.option("--slots", default=8)
@click.option("--cores", default=16.0)
@click.option("--memory-mb", default=60_000)
@click.option("--accelerators", default=0)
@click.option(
    "--bad-worker",
    default="",
    help="Fault of the first worker: fails_everything, hangs or lies_about_size.",
)
@click.option(
    "--noise", default="", help="Slowdown by each running task of a class, as class=factor,..."
)
def main(
    count, ip, first, port, first_announcement_s, entries, token, record_path, domains, per_rack,
    slots, cores, memory_mb, accelerators, bad_worker, noise,
) -> None:  # fmt: skip
    """Run stand-in workers until SIGTERM.

    --slots, --cores, --memory-mb and --accelerators are the capacity of each worker.
    --per-rack is the number of workers in a rack; racks take the failure domains in turn.
    """
    record = ExecutionRecord(record_path)
    domain_names = domains.split(",")
    noise_by_class = {
        name: float(factor) for name, factor in (n.split("=") for n in noise.split(",") if n)
    }
    for number in range(first, first + count):
        rack = number // per_rack
        spec = WorkerSpec(
            worker_id=f"w{number:03d}",
            failure_domain=domain_names[rack % len(domain_names)],
            rack=f"rack-{rack}",
            slots=slots,
            cores=cores,
            memory_mb=memory_mb,
            accelerators=accelerators,
        )
        behaviour = Behaviour(noise_by_class=noise_by_class)
        if bad_worker and number == first:
            setattr(behaviour, bad_worker, True)
        worker = Worker(spec, record, behaviour)
        own_port = port + number - first if port else 0
        WorkerHost(worker, ip, entries.split(","), token, own_port, first_announcement_s)
    stop = Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.send(None))
    stop.wait()


if __name__ == "__main__":
    main()
