"""HTTP endpoints for operators and the load balancer."""

from starlette.responses import JSONResponse, Response

from skylarkpost.frontend.caller import summarize

__all__ = ["AdminEndpoints"]


class AdminEndpoints:
    """Health, readiness, metrics, status and request explanations of an instance.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    history : skylarkpost.frontend.history.RequestHistory
        Summaries of ended requests.
    """

    def __init__(self, *, services, history):
        self.services = services
        self.history = history

    def is_ready(self):
        """Return whether the load balancer may send requests to this instance.

        Returns
        -------
        bool
        """
        if self.services.leaving or self.services.draining:
            return False
        return all(
            controller.is_ready() for controller in self.services.controllers.values()
        )

    async def health(self, request):
        """Answer 200 as long as the process is responsive."""
        return JSONResponse({"healthy": True})

    async def readiness(self, request):
        """Answer 200 if ready, else 503 with the controllers that are not ready."""
        waiting = [
            name
            for name, controller in self.services.controllers.items()
            if not controller.is_ready()
        ]
        ready = self.is_ready()
        content = {"ready": ready, "waiting_for": waiting}
        return JSONResponse(content, status_code=200 if ready else 503)

    async def metrics(self, request):
        """Answer with all metrics in the Prometheus text format."""
        content, headers = self.services.metrics.render()
        return Response(content, headers=headers)

    async def status(self, request):
        """Answer with the state of the instance and of every controller."""
        controllers = self.services.controllers
        degraded = [
            text
            for controller in controllers.values()
            for text in controller.degraded()
        ]
        return JSONResponse(
            {
                "instance": self.services.instance,
                "data_centre": self.services.data_centre,
                "boot": self.services.boot,
                "ready": self.is_ready(),
                "leaving": self.services.leaving or self.services.draining,
                "open_requests": len(self.services.exchanges),
                "degraded": degraded,
                "controllers": {
                    name: controller.status()
                    for name, controller in controllers.items()
                },
            }
        )

    async def explain(self, request):
        """Answer with the summary of one request and every decision about it."""
        request_id = request.path_params["request_id"]
        exchange = self.services.exchanges.get(request_id)
        if exchange is not None:
            summary = summarize(exchange)
        else:
            summary = self.history.get(request_id)
        if summary is None:
            return JSONResponse({"error": "unknown request"}, status_code=404)
        content = summary._asdict()
        content["decisions"] = [item._asdict() for item in summary.decisions]
        return JSONResponse(content)
