"""The command line's top-level group, and the commands that start a router or check its settings."""

from __future__ import annotations

from typing import Any, cast

import click

from wickhinge import __version__
from wickhinge.cli.output import SETTINGS_FILE_PATH, fail, print_json


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="wickhinge", message="%(prog)s %(version)s")
def main() -> None:
    """Route requests to caches that fill from parents and an origin."""


@main.command()
@click.option(
    "--options",
    type=SETTINGS_FILE_PATH,
    envvar="WICKHINGE_OPTIONS",
    help="Wickhinge's own settings, as in deploy/wickhinge.cue; without a file all its subsystems are off.",
)
def run(options: str | None) -> None:
    """Start one router with the platform's configuration that RELAY_CONFIG names."""
    from wickhinge.net.control import start

    start.exit_process(start.main(options))


@main.command("check-config")
@click.option("--options", type=SETTINGS_FILE_PATH, help="A file of Wickhinge's own settings.")
@click.option(
    "--config",
    type=SETTINGS_FILE_PATH,
    help="A file of the platform's configuration, like the one that RELAY_CONFIG names.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the settings in force as one JSON object.")
def check_config(options: str | None, config: str | None, as_json: bool) -> None:
    """Check settings without starting a router; if they cannot be used, name the faulty key and exit with 2."""
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
            platform_config = platform.read({"RELAY_CONFIG": config})
            no_environment = cast(Any, None)  # The router built here routes no request, so it needs no environment.
            router, tariffs = settings.build_router(
                platform.settings(platform_config), platform.seed(platform_config), no_environment
            )
            platform.process_limits(platform_config)
            platform.connection_limits(platform_config)
            platform.known_events(platform_config)
            platform.link_limits(platform_config)
            answer["config"] = {
                "name": platform.name(platform_config),
                "listen": ":".join(map(str, platform.listen_address(platform_config))),
                "journal": ":".join(map(str, platform.discovery_address(platform_config))),
                "location": router.endpoints.zone,
                "tariffs": list(tariffs),
            }
    except (OptionsError, MalformedError) as error:
        fail(str(error))
    if as_json:
        print_json(answer)
        return
    for section in answer.values():
        for key, value in section.items():
            for subkey, setting in value.items() if isinstance(value, dict) else [("", value)]:
                click.echo(f"{key}{'.' * bool(subkey)}{subkey} = {setting}")
