#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::gateway {

using settings::Setting;

inline const Setting<std::string> ReadinessListen{
    "gateway.readiness_listen", "127.0.0.1:8082",
    "address of the readiness check for the load balancer"};
inline const Setting<std::string> MetricsListen{
    "gateway.metrics_listen", "127.0.0.1:9464",
    "address of the metrics endpoint (Prometheus text format)"};
inline const Setting<std::string> PeerListen{
    "gateway.peer_listen", "127.0.0.1:8083",
    "UDP address for the load reports of peers"};
inline const Setting<int64_t> CallerMemoryBytes{
    "http.caller_memory_bytes",
    0,
    0,
    int64_t{1} << 40,
    "bytes",
    "memory for bodies and unread responses of callers; 0: a quarter of "
    "node.memory_mb"};
inline const Setting<int64_t> MaxConnections{
    "http.max_connections",
    0,
    0,
    1 << 24,
    "",
    "connections of callers; 0: what node.max_descriptors and node.memory_mb "
    "allow"};
inline const Setting<double> RetryRatio =
    Setting<double>{"gateway.retry_ratio",
                    0.2,
                    0,
                    10,
                    "",
                    "retries allowed per request, over all processes"}
        .reloadable();
inline const Setting<double> RetrySlack =
    Setting<double>{"gateway.retry_slack",
                    10,
                    0,
                    1e6,
                    "attempts",
                    "additional retries allowed per window, over all processes"}
        .reloadable();
inline const Setting<double> RetryWindow =
    Setting<double>{"gateway.retry_window_s",
                    10,
                    0.1,
                    3'600,
                    "s",
                    "window over which retries are counted"}
        .reloadable();
inline const Setting<double> StopGrace =
    Setting<double>{"gateway.stop_grace_s",
                    8,
                    0.1,
                    3'600,
                    "s",
                    "time after SIGTERM within which the process exits"}
        .reloadable();
inline const Setting<bool> ServerPacing{
    "gateway.server_pace", false,
    "raise the requests to a server that has just become available by its "
    "responses; only for services whose servers report how long work takes"};

} // namespace sardineford::gateway
