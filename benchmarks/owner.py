"""Earlier name of benchmarks.leadership: `python -m benchmarks.owner` goes on working."""

from benchmarks.leadership import main

if __name__ == "__main__":
    main()
