"""First filter of the chain: classifies and validates requests."""

from skylarkpost.filters import Filter, register_filter
from skylarkpost.frontend.credentials import contains_key
from skylarkpost.frontend.model_request import SCHEMAS, InvalidContent, parse_content
from skylarkpost.outcomes import Reason, Refused

__all__ = ["IdentifyFilter"]

NOT_READY_RETRY_S = 1.0


@register_filter("identify", order=10)
class IdentifyFilter(Filter):
    """Refuses malformed requests and requests that would forward a key."""

    async def apply(self, exchange):
        """Validate one request. See `Filter.apply`."""
        if self.services.leaving:
            return Refused(
                reason=Reason.SHUTTING_DOWN,
                message="This instance is shutting down; send the request again.",
                retry_after=0.0,
            )
        if not self.services.controllers["config"].is_ready():
            return Refused(
                reason=Reason.NOT_READY,
                message="This instance does not know the configuration yet.",
                retry_after=NOT_READY_RETRY_S,
            )
        if exchange.headers.get("content-encoding", "identity") != "identity":
            return _bad_request("Compressed request bodies are not accepted.")
        if contains_key(
            path=exchange.path,
            query=exchange.query,
            headers=exchange.headers,
            body=exchange.body,
        ):
            return Refused(
                reason=Reason.KEY_IN_CONTENT,
                message="A key stands where it would be passed on; send it in the"
                " Authorization header only.",
            )
        if exchange.path in SCHEMAS:
            return self._parse_model_request(exchange)
        return None

    def _parse_model_request(self, exchange):
        if exchange.method != "POST":
            return Refused(
                reason=Reason.METHOD_NOT_ALLOWED, message="Only POST is allowed here."
            )
        content = parse_content(path=exchange.path, body=exchange.body)
        if isinstance(content, InvalidContent):
            return _bad_request(content.message)
        exchange.content = content
        return None


def _bad_request(message):
    return Refused(reason=Reason.BAD_REQUEST, message=message)
