"""The settings of the program that relays requests on routes."""

from __future__ import annotations

import dataclasses

from mustardscale.settings.daemon_settings import SettingsDeclaration, setting
from mustardscale.settings.setting_options import (
    Address,
    Addresses,
    Amount,
    Choice,
    Count,
    Factor,
    Seconds,
    Secret,
    Share,
    Text,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySettings(SettingsDeclaration):
    """The settings; the help text of each says what it does."""

    host_id: str = setting(Text(), 'Id of this host.')
    data_centre: str = setting(Text(), 'Data centre of this host.')
    region: str = setting(Text(), 'Region of this host.')
    cpu_share: float = setting(
        Factor(), 'Cores that this host may use, or a share of one.', 1.0
    )
    cpu_speed: float = setting(
        Factor(), 'Speed of a core, in multiples of a usual one.', 1.0
    )
    callers_listen: str = setting(
        Address(), 'Address on which callers are served.'
    )
    ready_listen: str = setting(
        Address(), 'Address of readiness, metrics and the state dump.'
    )
    peers_listen: str = setting(Address(), 'Address on which peers are served.')
    seed_addresses: tuple[str, ...] = setting(
        Addresses(), "Peers' addresses to ask before any peer is known.", ()
    )
    store_address: str = setting(
        Address(), "Address of the platform's metadata store."
    )
    heartbeat_s: float = setting(
        Seconds(), 'Interval of heartbeats between peers.', 0.4
    )
    dead_after_s: float = setting(
        Seconds(), 'Silence after which a peer counts as dead.', 1.6
    )
    host_list_interval_s: float = setting(
        Seconds(), 'Interval at which the host list is looked at.', 1.0
    )
    report_interval_s: float = setting(
        Seconds(), "Interval at which an engine's report is read.", 0.9
    )
    policy: str = setting(
        Choice('mustardscale', 'round_robin', 'least_loaded'),
        'How requests are admitted and placed.',
        'mustardscale',
    )
    prefill_share: float = setting(
        Share(), "Share of a model's engines that prefill.", 0.2
    )
    pool_engines: int = setting(
        Count(minimum=2),
        'Engines that one host admits requests to at most.',
        16,
    )
    retry_ratio: float = setting(
        Share(), 'Retries of a service as a share of its requests.', 0.2
    )
    retry_slack: float = setting(
        Amount(), 'Retries of a service beyond that share.', 50.0
    )
    retry_window_s: float = setting(
        Seconds(), 'Time over which retries are counted.', 10.0
    )
    stream_backups: str = setting(
        Choice('off', 'once', 'all'),
        'Streams whose KV cache a second engine keeps a copy of: none, those'
        ' that may not be resumed, or all.',
        'off',
    )
    max_key_age_ms: float = setting(
        Amount(),
        'Milliseconds after which requests with a key are refused if the'
        ' configuration could not be confirmed; 0 for no limit.',
        0.0,
    )
    quota_window_s: float = setting(
        Amount(),
        'Time over which quotas of customers are counted, in seconds; 0 for no'
        ' window.',
        0.0,
    )
    quota_overrun: float = setting(
        Amount(),
        'Share by which a quota may be exceeded in that time.',
        0.0,
    )
    quota_slack: float = setting(
        Amount(), 'Units by which a quota may be exceeded besides.', 0.0
    )
    even_load: str = setting(
        Choice('off', 'on'),
        'Whether hosts tell each other which calls are open at plain endpoints'
        ' and draw by that, and pools learn the speed of each engine.',
        'off',
    )
    memory_mb: float = setting(
        Amount(),
        'Memory of the machine in MB, to which the limits of callers are'
        ' fitted; 0 if unknown.',
        0.0,
    )
    max_fds: float = setting(
        Amount(),
        'Descriptors that the process may open, to which the number of'
        ' connections is fitted; 0 if unknown.',
        0.0,
    )
    max_connections: int = setting(
        Count(), "Limit of callers' connections.", 1_500
    )
    max_all_bodies_bytes: int = setting(
        Count(),
        'Memory for the bodies of all requests in progress, in bytes.',
        33_554_432,
    )
    max_answer_bytes: int = setting(
        Count(), "Size of a plain endpoint's answer, in bytes.", 4_194_304
    )
    max_all_answers_bytes: int = setting(
        Count(),
        'Memory for all answers of plain endpoints that are being read, and'
        ' for those that are being sent, in bytes.',
        16_777_216,
    )
    body_timeout_s: float = setting(
        Seconds(), 'Time in which a body must arrive.', 10.0
    )
    stream_write_timeout_s: float = setting(
        Seconds(),
        'Time for which a caller may take no bytes of its answer.',
        10.0,
    )
    drain_notice_s: float = setting(
        Seconds(), 'Time for the balancer to see that a host drains.', 2.6
    )
    drain_timeout_s: float = setting(
        Seconds(), 'Time for open requests to end at shutdown.', 4.7
    )
    seed: int = setting(
        Count(minimum=0), 'Seed of the random number generator.', 0
    )
    log_level: str = setting(
        Choice('debug', 'info', 'warning', 'error'),
        'Lowest level of log lines.',
        'info',
    )
    peer_key: str = setting(
        Secret(optional=True),
        'Key shared by all peers; empty for no authentication.',
        '',
    )
