"""Earlier name of benchmarks.policy_rollout, kept so that `python -m benchmarks.change` still works."""

from benchmarks.policy_rollout import main

if __name__ == "__main__":
    main()
