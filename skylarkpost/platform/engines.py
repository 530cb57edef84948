"""Codec for engine reports and for orders to engines."""

import msgspec

from skylarkpost.decoding import Count, Malformed, decode_json
from skylarkpost.platform.targets import ModelOnWire, loaded_models
from skylarkpost.targets.state import EngineState, OrderReply, OrderVerdict

__all__ = ["EngineCodec"]

# 200: the requested state already holds. 202: the order is being carried out.
# 409: another order is running, or the order count differs from the precondition.
# 412: the engine has seen a newer fencing number.
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
    # Number of orders accepted by this run of the engine.
    seq: Count
    waiting: Count
    running: Count
    kv_used: Count = 0
    kv_total: Count = 0
    # Adapters that are being loaded, as MODEL/NAME@VERSION.
    pending: list[str] = []


class EngineCodec:
    """Encodes requests to an engine and decodes its responses."""

    report_request = ("GET", "/-/report")
    order_request = ("POST", "/-/order")
    instance_header = "X-Expect-Instance"

    @staticmethod
    def decode_report(payload):
        """Decode an engine's report.

        Parameters
        ----------
        payload : bytes
            Body of the response.

        Returns
        -------
        EngineState or Malformed
        """
        wire = decode_json(payload, ReportOnWire)
        if isinstance(wire, Malformed):
            return Malformed(f"report: {wire.detail}")
        models = loaded_models(wire.models)
        if models is None:
            return Malformed("report: a version that is not a number")
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
        """Encode an order to load or unload.

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
        """Decode the response to an order.

        Parameters
        ----------
        status : int
            HTTP status.
        payload : bytes
            Body of the response.

        Returns
        -------
        OrderReply
        """
        verdict = VERDICTS.get(status, OrderVerdict.UNKNOWN)
        return OrderReply(verdict=verdict, detail=payload[:200].decode("latin-1"))
