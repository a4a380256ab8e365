"""The table group of a statement, and the time that it takes to find it."""

import time

import pytest

from gullhold.net import statement


@pytest.mark.parametrize(
    ("sql", "group"),
    [
        ("select * from sales_17.orders", 17),
        ("SELECT x, 'it''s from lake_0.decoy' AS note\nFROM ops_5.orders a WHERE a.tag = 'x'", 5),
        ("SELECT id, note -- was: from mart_1.old\nFROM mart_10.visits LIMIT 5", 10),
        ("select /* from lake_3.x */ 1 from lake_4.y", 4),
        ("WITH w AS (SELECT * FROM lake_6.lines WHERE tag = 'q') SELECT id, sum(n) FROM w GROUP BY id", 6),
        (
            "merge into lake_8.orders d using staging.delta s on d.id = s.id when matched then delete",
            8,
        ),
        ('insert into "ops_9"."orders" select * from staging.delta', 9),
        ("insert into staging.tmp_1 select o_2.x from sales_3.orders o_2", 3),
        ("select o_2.x, o_2.y from only sales_3.orders o_2", 3),
        ("copy sales_12 . orders from stdin", 12),
        ("select a from x, sales_7.y", 7),
        ("update db.lake_2.t set a = 1", 2),
        ("delete from STAGING.x_1", 0),
        ("select 1", 0),
        ("", 0),
        ("select 'unended from sales_1.x", 0),
        ("select * from sales.orders_17", 0),
        ("select t_1.a from x t_1, sales_7.y where t_1.a in (select b from lake_2.z)", 7),
        ("insert into ops_4.x (a, b) values ('sales_1.y', 2)", 4),
        ("select c_9.x from (select * from mart_6.lines) c_9", 6),
        ("select max(lake_5.t.x) as m", 0),
        ("select m['a'] from [sales_4].[t]", 4),
        ("select m[ from sales_4.t", 4),
        ("select m[ 'a' from [sales_4].t", 4),
        ("select a[1 from x.[y where 'it' = [b_1].c", 1),
        ('select a[ x."y".[sales_5].t', 5),
        ("select [ /* it's from lake_3.x */ 1 from lake_4.y", 4),
    ],
)
def test_the_group_is_taken_from_the_schema_of_the_first_table(sql, group):
    assert statement.table_group(sql).group == group


@pytest.mark.parametrize("end", ["", "'", '"', "]"])
@pytest.mark.parametrize(
    "unit", ["[", "a.[", "['", '["', "[`", "[a.b,", "[/*", '"a".', "a . ", "from a_1.b ", "''"]
)
def test_long_statement_is_read_in_linear_time_whatever_it_holds(unit, end):
    """Guards against a search for the end of each bracket, quadratic in time: 10 s for 60,000 brackets."""
    statement_of_60_kb = unit * (60_000 // len(unit)) + end
    began = time.process_time()
    statement.table_group(statement_of_60_kb)
    assert time.process_time() - began < 1.0


def test_number_that_no_group_can_have_counts_as_no_group_but_names_its_table():
    """Guards against the error that int() raises for a number of over 4,300 digits."""
    name = "sales_" + "7" * 5000 + ".t"
    assert statement.table_group("select * from " + name) == (0, name)
    assert statement.table_group("select * from sales_000000000000000017.t").group == 17
