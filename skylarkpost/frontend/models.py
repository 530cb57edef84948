"""Lists the profiles that a caller's team may use, as ``/v1/models``."""

from starlette.responses import JSONResponse

from skylarkpost.frontend.credentials import extract_credentials
from skylarkpost.frontend.responses import refusal_response
from skylarkpost.outcomes import Reason, Refused

__all__ = ["ModelsEndpoint"]


class ModelsEndpoint:
    """The list of models as engine users know it.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        What the instance shares between its parts.
    """

    def __init__(self, *, services):
        self.services = services

    async def list_models(self, request):
        """Answer with the profiles of the team whose key came with the request."""
        key_hash = extract_credentials(request.headers).key_hash
        config = self.services.controllers["config"]
        key = config.store.key(key_hash) if key_hash else None
        if key is None or key.withdrawn:
            reason = Reason.KEY_UNKNOWN if key_hash else Reason.KEY_MISSING
            refused = Refused(reason=reason, message="Send a key of your team.")
            return refusal_response(refused, request_id="-")
        names = [profile.name for profile in config.profiles_for(key.team)]
        models = [
            {"id": name, "object": "model", "owned_by": key.team} for name in names
        ]
        return JSONResponse({"object": "list", "data": models})
