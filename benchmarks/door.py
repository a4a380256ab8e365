"""Earlier name of benchmarks.admission_queue, kept so that `python -m benchmarks.door` still works."""

from benchmarks.admission_queue import main

if __name__ == "__main__":
    main()
