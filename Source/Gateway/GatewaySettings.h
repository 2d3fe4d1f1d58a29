#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::gateway {

using settings::Setting;

inline const Setting<std::string> ReadinessListen{
    "gateway.readiness_listen", "127.0.0.1:8082",
    "address for the balancer's question whether the process is ready"};
inline const Setting<std::string> MetricsListen{
    "gateway.metrics_listen", "127.0.0.1:9464",
    "address of the metrics in the Prometheus text format"};
inline const Setting<std::string> PeerListen{
    "gateway.peer_listen", "127.0.0.1:8083",
    "UDP address for reports of work in flight between processes"};
inline const Setting<double> RetryRatio =
    Setting<double>{
        "gateway.retry_ratio",
        0.2,
        0,
        10,
        "",
        "further attempts allowed for each request, over all processes"}
        .whileRunning();
inline const Setting<double> RetrySlack =
    Setting<double>{
        "gateway.retry_slack",
        10,
        0,
        1e6,
        "attempts",
        "further attempts allowed beside in each window, over all processes"}
        .whileRunning();
inline const Setting<double> RetryWindow =
    Setting<double>{"gateway.retry_window_s",
                    10,
                    0.1,
                    3'600,
                    "s",
                    "window in which further attempts are counted"}
        .whileRunning();
inline const Setting<double> StopGrace =
    Setting<double>{"gateway.stop_grace_s",
                    8,
                    0.1,
                    3'600,
                    "s",
                    "time from SIGTERM in which the process must end by itself"}
        .whileRunning();

} // namespace sardineford::gateway
