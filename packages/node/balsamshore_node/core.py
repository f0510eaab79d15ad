"""The node program: settings, sockets, signals and shutdown."""

import signal
from typing import Any

import anyio
import anyio.abc
import fire
import fire.core
import hypercorn.asyncio
import hypercorn.config
import loguru

from balsamshore_core import actions
from balsamshore_core import events
from balsamshore_core import lifecycle
from balsamshore_node import api
from balsamshore_node import backends
from balsamshore_node import environment
from balsamshore_node import peers
from balsamshore_node import readers
from balsamshore_node import runtime as node_runtime
from balsamshore_node import settings
from balsamshore_node import status
from balsamshore_node import telemetry

CALLER_GRACE_S = 5.0
FORCED_STOP_GRACE_S = 0.1
KEEP_ALIVE_S = 30.0
BACKLOG = 1_024


def main(args: list[str], env: environment.Environment) -> status.ExitStatus:
    """Runs one node until a signal stops it.

    Args:
        args: Command-line flags, without the program name.
        env: Process environment.
    """
    try:
        flags = fire.Fire(
            _collect_flags, command=args, serialize=_discard_output
        )
    except fire.core.FireExit as error:
        return status.ExitStatus(error.code)
    result = settings.read_settings(flags, env.variables)
    if result.is_error():
        env.stderr.write('balsamshored cannot start:\n')
        for problem in result.error.problems:
            env.stderr.write(f'  {problem}\n')
        env.stderr.write('Correct these settings and start the node again.\n')
        return status.ExitStatus.USAGE
    telemetry.configure_logging(env.stderr, result.ok.log_level, result.ok.name)
    return anyio.run(_serve, result.ok, env)


@fire.decorators.SetParseFn(str)
def _collect_flags(**flags: str) -> dict[str, str]:
    """Runs a balsamshore node; docs/OPERATIONS.md lists the flags."""
    return flags


def _discard_output(value: Any) -> None:
    """Keeps `fire` from printing the return value of a command."""


async def _serve(
    config: settings.Settings, env: environment.Environment
) -> status.ExitStatus:
    runtime = node_runtime.Runtime(
        config,
        env,
        telemetry.Metrics(config.statsd),
        telemetry.Spans(config),
    )
    result = status.ExitStatus.SUCCESS
    try:
        async with anyio.create_task_group() as tasks:
            result = await _run_tasks(config, runtime, tasks)
            tasks.cancel_scope.cancel()
    finally:
        runtime.close()
    return result


async def _run_tasks(
    config: settings.Settings,
    runtime: node_runtime.Runtime,
    tasks: anyio.abc.TaskGroup,
) -> status.ExitStatus:
    peer_sockets = peers.Peers(
        tasks, runtime, config.peer_keys, config.peer_listen
    )
    platform_reader = readers.PlatformReader(
        tasks, runtime.dispatch, config.config_url, config.vm_list_url
    )
    identity = runtime.board.identity
    pool = backends.Backends(
        tasks,
        runtime.dispatch,
        runtime.spans,
        runtime.find_span,
        f'{identity.name}~{identity.incarnation:x}',
    )
    runtime.add_action_handlers(
        {
            actions.OpenConnection: pool.open,
            actions.CloseConnection: pool.close,
            actions.SendAttempt: pool.submit,
            actions.SendCancel: pool.submit,
            actions.SendHealthCheck: pool.submit,
            actions.SendPeerMessage: peer_sockets.send,
            actions.FetchConfiguration: peer_sockets.fetch_configuration,
            actions.ForwardQuery: peer_sockets.forward,
            actions.ReadConfiguration: platform_reader.read_configuration,
            actions.ReadVmList: platform_reader.read_vm_list,
        }
    )
    forced_stop = anyio.Event()
    finished = anyio.Event()
    try:
        await peer_sockets.open()
    except OSError as error:
        loguru.logger.error(
            'cannot listen on {} (--peer_listen): {}; '
            'free the port or choose another address',
            config.peer_listen,
            error,
        )
        return status.ExitStatus.ERROR
    runtime.start()
    tasks.start_soon(_watch_signals, runtime, forced_stop)
    tasks.start_soon(runtime.run_timers)
    tasks.start_soon(runtime.run_metrics)
    server = _configure_server(config)
    tasks.start_soon(_serve_callers, server, runtime, finished)
    loguru.logger.info('serving callers on {}', config.listen)
    await _await_either(finished, forced_stop)
    await platform_reader.close()
    if forced_stop.is_set() and not finished.is_set():
        unanswered = lifecycle.count_unanswered_queries(runtime.board)
        loguru.logger.warning(
            'stopped by a second signal; {} queries unanswered', unanswered
        )
        server.graceful_timeout = FORCED_STOP_GRACE_S
        runtime.stopped.set()
        with anyio.move_on_after(CALLER_GRACE_S):
            await finished.wait()
        return status.ExitStatus.FORCED_STOP
    return status.ExitStatus.SUCCESS


async def _await_either(first: anyio.Event, second: anyio.Event) -> None:
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(wait, first)
        tasks.start_soon(wait, second)


def _configure_server(config: settings.Settings) -> hypercorn.config.Config:
    server = hypercorn.config.Config()
    server.bind = [config.listen]
    server.loglevel = 'ERROR'
    server.graceful_timeout = CALLER_GRACE_S
    server.keep_alive_timeout = KEEP_ALIVE_S
    server.include_server_header = False
    server.backlog = BACKLOG
    return server


async def _serve_callers(
    server: hypercorn.config.Config,
    runtime: node_runtime.Runtime,
    finished: anyio.Event,
) -> None:
    app: Any = api.Api(runtime)
    try:
        await hypercorn.asyncio.serve(
            app, server, shutdown_trigger=runtime.stopped.wait
        )
    except OSError as error:
        loguru.logger.error(
            'cannot listen on {} (--listen): {}; '
            'free the port or choose another address',
            server.bind[0],
            error,
        )
    finished.set()


async def _watch_signals(
    runtime: node_runtime.Runtime, forced_stop: anyio.Event
) -> None:
    stop_requested = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stop_requested:
                forced_stop.set()
                return
            stop_requested = True
            runtime.dispatch(events.StopRequested())
