"""The part of rule LOST on work that could run and does not, from what runners saw."""

# From RULES.md and the bounds of the deployment.
FINISH_S = 14
IDLE_S = 3
AFTER_LAST_RUN_S = 6


def idle_spans(world, job, begin, end):
    """Returns the spans from `begin` to `end` in which no task of the job runs."""
    with world.lock:
        began = [(at, task, run) for at, task, run, *_ in world.starts if task.startswith(job)]
        ended = {(task, run): at for at, task, run, *_ in world.ends if task.startswith(job)}
    busy = sorted((at, ended.get((task, run), end)) for at, task, run in began)
    spans, free_from = [], begin
    for at, until in busy:
        if at > free_from:
            spans.append((free_from, min(at, end)))
        free_from = max(free_from, until)
    if free_from < end:
        spans.append((free_from, end))
    return [(a, b) for a, b in spans if b > a]


def idle_after_traffic(world, job, traffic_ends, end):
    """Returns the spans of `IDLE_S` and more without a run, from `FINISH_S` after the traffic."""
    spans = idle_spans(world, job, traffic_ends + FINISH_S, end)
    return [(a, b) for a, b in spans if b - a >= IDLE_S]


def gaps_of_lasting(world, job, end):
    """Returns the spans in which a task that lasts has no run, `AFTER_LAST_RUN_S` after the last."""
    with world.lock:
        began = min((at for at, task, *_ in world.starts if task.startswith(job)), default=end)
    spans = idle_spans(world, job, began, end)
    return [(a + AFTER_LAST_RUN_S, b) for a, b in spans if b - a >= AFTER_LAST_RUN_S + IDLE_S]
