"""The command line's group, and the commands that start a router or check its settings."""

from __future__ import annotations

from typing import Any, cast

import click

from wickhinge import __version__
from wickhinge.cli.output import OPTIONS_FILE, fail, print_json


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="wickhinge", message="%(prog)s %(version)s")
def main() -> None:
    """A visit router for caches that fill from parents and an origin."""


@main.command()
@click.option(
    "--options",
    type=OPTIONS_FILE,
    envvar="WICKHINGE_OPTIONS",
    help="Our own settings, as deploy/wickhinge.cue; none: all of them off.",
)
def run(options: str | None) -> None:
    """Start one router, told what it is by RELAY_CONFIG."""
    from wickhinge.net.control import start

    start.exit_process(start.main(options))


@main.command("check-config")
@click.option("--options", type=OPTIONS_FILE, help="A file of our own settings.")
@click.option("--config", type=OPTIONS_FILE, help="A platform's configuration, as RELAY_CONFIG names it.")
@click.option("--json", "as_json", is_flag=True, help="The settings in force, as one JSON object.")
def check_config(options: str | None, config: str | None, as_json: bool) -> None:
    """Check settings without starting anything; 2 and the faulty key if they can't be used."""
    import msgspec

    from wickhinge import settings
    from wickhinge.fields import MalformedError
    from wickhinge.net.control import config as platform
    from wickhinge.options import OptionsError, load

    if not options and not config:
        fail("check-config: give --options, --config or both")
    answer: dict[str, Any] = {}
    try:
        if options:
            answer["options"] = msgspec.to_builtins(load(options))
        if config:
            conf = platform.read({"RELAY_CONFIG": config})
            nothing_outside = cast(Any, None)  # the router that is built decides nothing
            router, tariffs = settings.build_router(platform.settings(conf), platform.seed(conf), nothing_outside)
            platform.process_limits(conf)
            platform.connection_limits(conf)
            platform.known_events(conf)
            platform.link_limits(conf)
            answer["config"] = {
                "name": platform.name(conf),
                "listen": ":".join(map(str, platform.listen_address(conf))),
                "journal": ":".join(map(str, platform.discovery_address(conf))),
                "location": router.endpoints.zone,
                "tariffs": list(tariffs),
            }
    except (OptionsError, MalformedError) as problem:
        fail(str(problem))
    if as_json:
        print_json(answer)
        return
    for part in answer.values():
        for name, value in part.items():
            for inner, more in value.items() if isinstance(value, dict) else [("", value)]:
                click.echo(f"{name}{'.' * bool(inner)}{inner} = {more}")
