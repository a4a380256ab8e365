"""The table group of a statement."""

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
    ],
)
def test_the_group_is_taken_from_the_schema_of_the_first_table(sql, group):
    assert statement.table_group(sql).group == group
