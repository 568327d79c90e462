"""Program `waxwing-load`: test upstream, fault proxy, load and checker."""

import sys
from pathlib import Path

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from waxwingsaddle import (
    __version__,
    deployment,
    deployment_plans,
    experiment,
    journal_checker,
    load_report,
    program,
)
from waxwingsaddle.fault_proxy import build as build_faults
from waxwingsaddle.fault_proxy_settings import FaultsSettings
from waxwingsaddle.load_generator import LoadGenerator
from waxwingsaddle.settings import SettingsError
from waxwingsaddle.standin import build as build_standin
from waxwingsaddle.standin_settings import StandinSettings

EXIT_VIOLATION = 1
EXIT_INPUT = 2
_settings_option = option('settings', None, 'Settings file', flag=False)


class UpstreamCommand(Command):
    """Runs a simulated upstream until a stop signal."""

    name = 'upstream'
    description = 'Runs a stand-in upstream'
    options = [_settings_option]

    def handle(self) -> int:
        """Runs the command."""
        return program.run(
            'upstream',
            StandinSettings,
            build_standin,
            ['--settings', self.option('settings') or ''],
        )


class FaultsCommand(Command):
    """Runs the fault-injecting proxy until a stop signal."""

    name = 'faults'
    description = 'Runs a fault-injecting TCP proxy'
    options = [_settings_option]

    def handle(self) -> int:
        """Runs the command."""
        return program.run(
            'faults',
            FaultsSettings,
            build_faults,
            ['--settings', self.option('settings') or ''],
        )


class RunCommand(Command):
    """Generates the load of an experiment and prints its measurements."""

    name = 'run'
    description = 'Runs an experiment'
    arguments = [argument('experiment', 'Experiment file (TOML)')]
    options = [
        option('json', None, 'Also writes the figures here', flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        loaded = experiment.load(Path(self.argument('experiment')))
        if isinstance(loaded, SettingsError):
            self.line_error(f'waxwing-load: {loaded}')
            return EXIT_INPUT
        figures = {'nodes': _measure(loaded, is_direct=False)}
        if loaded.is_direct_measured:
            figures['direct'] = _measure(loaded, is_direct=True)
        for target, flows in figures.items():
            for line in load_report.format_report(
                f'{loaded.name}, {target}:', flows
            ):
                self.line(line)
        if self.option('json'):
            Path(self.option('json')).write_bytes(msgspec.json.encode(figures))
        return 0


class CheckCommand(Command):
    """Checks that calls ran at most once and that outcomes are exact."""

    name = 'check'
    description = 'Checks journals: at most once, exact outcomes'
    arguments = [argument('journals', 'Journal files', multiple=True)]
    options = [
        option('answers', None, 'Answer file', flag=False, multiple=True),
    ]

    def handle(self) -> int:
        """Runs the command."""
        checked = journal_checker.check_calls(
            map(Path, self.argument('journals')),
            map(Path, self.option('answers')),
        )
        self.line(
            f'{checked.executions} executions, {checked.answers} answers, '
            f'{len(checked.violations)} violations',
        )
        for violation in checked.violations:
            self.line(f'  {violation}')
        return EXIT_VIOLATION if checked.violations else 0


class DeploymentCommand(Command):
    """Writes the settings of a small deployment on the local machine."""

    name = 'deployment'
    description = 'Writes settings and a Procfile for a trial in a folder'
    arguments = [argument('folder', 'Folder to write to')]
    options = [
        option(
            'plan',
            None,
            f'One of {", ".join(deployment_plans.PLANS)}',
            flag=False,
            default='demo',
        ),
    ]

    def handle(self) -> int:
        """Runs the command."""
        folder = Path(self.argument('folder'))
        plan = deployment_plans.PLANS.get(self.option('plan'))
        if plan is None:
            available = ', '.join(deployment_plans.PLANS)
            self.line_error(
                f'waxwing-load: no plan {self.option("plan")!r}; '
                f'one of {available}',
            )
            return EXIT_INPUT
        if (folder / 'base.toml').exists():
            self.line_error(
                f'waxwing-load: {folder} has a base.toml; name a new folder',
            )
            return EXIT_INPUT
        ports = deployment.sequential_addresses(deployment.DEMO_FIRST_PORT)
        deployed = deployment.write(folder, plan, ports)
        deployment_plans.write_experiments(self.option('plan'), deployed)
        self.line(f'{len(deployed.members)} processes in {folder}/Procfile')
        return 0


COMMANDS = (
    UpstreamCommand,
    FaultsCommand,
    RunCommand,
    CheckCommand,
    DeploymentCommand,
)


def main() -> int:
    """Runs `waxwing-load`."""
    application = Application('waxwing-load', __version__)
    for command in COMMANDS:
        application.add(command())
    return application.run()


def _measure(
    loaded: experiment.Experiment,
    *,
    is_direct: bool,
) -> dict[str, load_report.FlowReport]:
    recorder = load_report.Recorder()
    LoadGenerator(loaded, recorder, is_direct=is_direct).run()
    return recorder.report()


if __name__ == '__main__':
    sys.exit(main())
