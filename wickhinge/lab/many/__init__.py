"""Many routers of one fleet, and what breaks between them: schedules drawn from a seed, played and judged.

Entered by `schedule.draw` and `play.play`: the same schedule goes to the virtual fleet here, thousands in a minute,
and to real processes behind relays. Judges (`judges`) see what was sent and what each process wrote down, and ask
no router what it believes. Used by tests, `bench` and `wickhinge lab many`; by no router.
"""
