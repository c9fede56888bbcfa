"""``borageramp reference``: the settings reference, from the models."""

from borageramp_cli._internal.exits import Exit
from borageramp_core import ServicePolicy, Upstream
from borageramp_settings import (
    DataCentreTree,
    EntrySettings,
    GlobalTree,
    ServiceDataCentreTree,
    ServiceTree,
    StrictModel,
    UpstreamTree,
    WorkspaceTree,
)

__all__ = ["reference", "reference_text"]

_SECTIONS: tuple[tuple[str, type[StrictModel]], ...] = (
    ("Entry process", EntrySettings),
    ("`global`", GlobalTree),
    ("`data_centres.NAME`", DataCentreTree),
    ("`services.NAME`", ServiceTree),
    ("`services.NAME.data_centres.NAME`", ServiceDataCentreTree),
    ("`services.NAME.upstreams.NAME`", UpstreamTree),
    ("`workspaces.NAME`", WorkspaceTree),
)


def _default(model: type[StrictModel], name: str) -> str:
    field = model.model_fields[name]
    if field.is_required():
        return "required"
    value = field.get_default(call_default_factory=True)
    if value is None and model is not EntrySettings:
        value = _inherited(name)
    return f"`{getattr(value, 'value', value)}`"


def _inherited(name: str) -> object:
    for target in (ServicePolicy, Upstream):
        field = target.__dataclass_fields__.get(name)
        if field is None:
            continue
        if callable(field.default_factory):
            return field.default_factory()
        return field.default
    return None


def reference_text() -> str:
    """Return the settings reference as Markdown."""
    lines = [
        "# Settings reference",
        "",
        "Made from the models by `borageramp reference`; not edited by hand.",
        "The suffix of a name is its unit. A level of the tree inherits what it",
        "does not give from the level before it: `global`, data centre, service,",
        "service within a data centre.",
    ]
    for title, model in _SECTIONS:
        lines += ["", f"## {title}", "", "| field | default | meaning |"]
        lines.append("| --- | --- | --- |")
        for name, field in model.model_fields.items():
            shown = _default(model, name).replace("|", "\\|")
            lines.append(f"| `{name}` | {shown} | {field.description or ''} |")
    return "\n".join(lines) + "\n"


def reference() -> int:
    """Print the settings reference as Markdown."""
    print(reference_text(), end="")
    return Exit.OK
