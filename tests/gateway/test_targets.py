"""Targets converted once for each change of the directory."""

from types import SimpleNamespace

from skylarkpost.discovery import LoadedModel, TargetEntry, TargetState
from skylarkpost.gateway.targets import TargetCatalogue
from skylarkpost.routing import TargetService
from skylarkpost.routing.configuration import AdapterModel, EngineLimits

MODEL = AdapterModel(name="m", adapters=9, load_time=1.0, size=10.0, adapter_size=1.0)
ENGINE = EngineLimits(
    models=(MODEL,), batch=4, adapter_slots=2, weights_size=20.0, cache_tokens=1000
)
SERVICE = TargetService("engines", "/healthz", 10, ENGINE)


def entry(name, model="m"):
    models = (LoadedModel(model, 1, {}),) if model else ()
    return TargetEntry(
        name, "engines", "127.0.0.1:1", "yaba", 8, TargetState.READY, 1, 0, models, None
    )


def catalogue_of(*entries):
    directory = SimpleNamespace(entries=tuple(entries))
    directory.of_service = lambda service, now: directory.entries
    return directory, TargetCatalogue(directory=directory)


def test_only_engines_with_the_base_model_are_targets():
    _, catalogue = catalogue_of(entry("a"), entry("b", model=None))
    known = catalogue.of_service(SERVICE, 0.0)
    assert list(known.by_name) == ["a"]
    assert known.names_by_boot == {"a/1": "a"}
    assert known.targets[0].batch_limit == 4


def test_targets_are_converted_again_only_after_a_change():
    directory, catalogue = catalogue_of(entry("a"))
    before = catalogue.of_service(SERVICE, 0.0)
    assert catalogue.of_service(SERVICE, 1.0) is before
    directory.entries = (entry("a"), entry("b"))
    assert list(catalogue.of_service(SERVICE, 1.0).by_name) == ["a", "b"]
    smaller = SERVICE._replace(engine=ENGINE._replace(batch=2))
    assert catalogue.of_service(smaller, 1.0).targets[0].batch_limit == 2
