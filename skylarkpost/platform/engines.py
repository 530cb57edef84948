"""Reports of engines, and orders to them."""

import msgspec

from skylarkpost.platform.malformed import Malformed
from skylarkpost.platform.targets import ModelOnWire, loaded_models
from skylarkpost.targets.state import EngineState, OrderReply, OrderVerdict

__all__ = ["EngineCodec"]

# 200: it already holds. 202: it is being carried out. 409: another order runs,
# or the count of orders differs. 412: a newer fencing number was seen.
VERDICTS = {
    200: OrderVerdict.HOLDS,
    202: OrderVerdict.STARTED,
    409: OrderVerdict.CONFLICT,
    412: OrderVerdict.FENCED,
    421: OrderVerdict.OTHER_TARGET,
    429: OrderVerdict.REFUSED,
    503: OrderVerdict.REFUSED,
    400: OrderVerdict.INVALID,
}


class ReportOnWire(msgspec.Struct, rename="camel"):
    models: list[ModelOnWire]
    # Whether a model is being loaded or unloaded; adapters don't count.
    busy: bool
    # Orders accepted by this run.
    seq: int
    waiting: int
    running: int
    kv_used: int = 0
    kv_total: int = 0
    # Adapters on their way, MODEL/NAME@VERSION.
    pending: list[str] = []


class EngineCodec:
    """Calls of an engine, as request parts, and its answers as types."""

    report_request = ("GET", "/-/report")
    order_request = ("POST", "/-/order")
    instance_header = "X-Expect-Instance"

    @staticmethod
    def decode_report(payload):
        """Decode a report.

        Parameters
        ----------
        payload : bytes
            Body of the answer.

        Returns
        -------
        EngineState or Malformed
        """
        try:
            wire = msgspec.json.decode(payload, type=ReportOnWire)
            models = loaded_models(wire.models)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
            return Malformed(f"report: {error}")
        pending = {}
        for each in wire.pending:
            model, _, adapter = each.partition("/")
            pending.setdefault(model, []).append(adapter)
        return EngineState(
            models=models,
            is_busy=wire.busy,
            orders_accepted=wire.seq,
            waiting=wire.waiting,
            running=wire.running,
            cache_tokens_used=wire.kv_used,
            pending={model: tuple(names) for model, names in pending.items()},
        )

    @staticmethod
    def encode_order(order):
        """Encode an order.

        Parameters
        ----------
        order : EngineOrder
            The order.

        Returns
        -------
        bytes
        """
        body = {
            "op": "load" if order.is_load else "unload",
            "model": order.model,
            "holder": order.holder,
            "fence": order.fencing_number,
            "precondition": order.orders_accepted,
        }
        if order.adapter is not None:
            body["adapter"] = order.adapter
        if order.version is not None:
            body["version"] = order.version
        return msgspec.json.encode(body)

    @staticmethod
    def decode_order_reply(status, payload):
        """Decode the answer to an order.

        Parameters
        ----------
        status : int
            HTTP status.
        payload : bytes
            Body of the answer.

        Returns
        -------
        OrderReply
        """
        verdict = VERDICTS.get(status, OrderVerdict.UNKNOWN)
        return OrderReply(verdict=verdict, detail=payload[:200].decode("latin-1"))
