"""Orders to engines: load, unload, change role, copy cached prefixes."""

import msgspec

from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.targets.calls import error_code, perform
from skylarkpost.targets.engine_calls import (
    QUERY_TIMEOUT_S,
    STATUS_OK,
    EngineCalls,
    order_headers,
)
from skylarkpost.targets.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    OrderDone,
    OrderFailed,
    OrderRefused,
    OrderUnknown,
    TargetUnavailable,
)

__all__ = ["EngineOrders"]

ORDER_TIMEOUT_S = 30.0
STATUS_CONFLICT = 409


class OrderAnswer(msgspec.Struct):
    """Wire format of the answer to an order."""

    boot: str | None = None


class EngineOrders(EngineCalls):
    """Sends orders, each on a new connection; see `EngineCalls`."""

    async def load(
        self,
        address,
        *,
        weight_name,
        version,
        fencing_number,
        boot,
        timeout=ORDER_TIMEOUT_S,
    ):
        """Order an engine to load one version of an adapter.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        weight_name, version : str
            The adapter and its version.
        fencing_number : int
            Fencing number of the sender.
        boot : str
            Boot id of the engine run that may accept the order.
        timeout : float
            Seconds without an answer after which the outcome is unknown.

        Returns
        -------
        OrderDone or OrderRefused or OrderFailed or OrderUnknown
        """
        content = {
            "lora_name": f"{weight_name}@{version}",
            "weight_name": weight_name,
            "version": version,
        }
        headers = order_headers(fencing_number, boot)
        path = "/v1/load_lora_adapter"
        return await self._order(address, path, content, headers, timeout)

    async def unload(
        self,
        address,
        *,
        lora_name,
        fencing_number,
        boot,
        timeout=QUERY_TIMEOUT_S,
    ):
        """Order an engine to unload an adapter.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        lora_name : str
            Adapter and version, ``A@V``.
        fencing_number, boot, timeout
            As for `load`.

        Returns
        -------
        OrderDone or OrderRefused or OrderFailed or OrderUnknown
        """
        headers = order_headers(fencing_number, boot)
        path = "/v1/unload_lora_adapter"
        content = {"lora_name": lora_name}
        return await self._order(address, path, content, headers, timeout)

    async def set_role(self, address, *, role, fencing_number, boot):
        """Order an engine to change its role.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        role : str
            ``"both"``, ``"prefill"`` or ``"decode"``.
        fencing_number, boot
            As for `load`.

        Returns
        -------
        OrderDone or OrderRefused or OrderFailed or OrderUnknown
        """
        headers = order_headers(fencing_number, boot)
        return await self._order(
            address, "/role", {"role": role}, headers, QUERY_TIMEOUT_S
        )

    async def move_cache(self, source, destination):
        """Copy an engine's cached prefixes to another engine.

        Parameters
        ----------
        source, destination : str
            ``IP:PORT`` of the engines.

        Returns
        -------
        OrderDone or TargetUnavailable
        """
        answer = b""
        for address, path in ((source, "/kv/export"), (destination, "/kv/import")):
            headers = {"Content-Type": "application/json"}
            call = self.build_call("POST", address, path, headers, answer)
            outcome = await perform(self.sessions.fresh(), call)
            if not isinstance(outcome, Answered) or outcome.status != STATUS_OK:
                return TargetUnavailable(detail=f"{path} failed")
            answer = outcome.body
        return OrderDone(boot=None)

    async def _order(self, address, path, content, headers, timeout):
        headers["Content-Type"] = "application/json"
        body = msgspec.json.encode(content)
        call = self.build_call("POST", address, path, headers, body, timeout)
        match await perform(self.sessions.fresh(), call):
            case NotRun(code=code):
                return OrderRefused(code=code)
            case MayHaveRun(detail=detail):
                return OrderUnknown(detail=detail)
            case Answered(status=status, body=answer) if status == STATUS_OK:
                return OrderDone(boot=_boot(answer))
            case Answered(status=status, body=answer) if status == STATUS_CONFLICT:
                return OrderRefused(code=error_code(answer))
            case Answered(status=status, body=answer):
                return OrderFailed(code=error_code(answer) or f"status-{status}")


def _boot(answer):
    decoded = decode_json(answer, OrderAnswer)
    return None if isinstance(decoded, Malformed) else decoded.boot
