/** @file timeline_page_template.h  HTML template of the timeline page, with one placeholder for the events and one for
 * the notes. The page is self-contained: it loads no further resources. */
#pragma once

#include <string_view>

namespace Chestnuthook
{

inline constexpr std::string_view TimelinePageTemplate = R"page(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>chestnuthook time line</title>
<meta name="viewport" content="width=device-width">
<style>
body { font: 14px system-ui, sans-serif; margin: 0; color: #222; background: #fff; }
header { padding: 8px 12px; display: flex; gap: 12px; align-items: center; flex-wrap: wrap; border-bottom: 1px solid #ccc; }
input[type=search] { width: 24em; padding: 4px; }
#notes { color: #7a4b00; background: #fff5dd; padding: 0 12px; }
#view { display: block; width: 100%; cursor: grab; touch-action: none; }
#below { display: flex; gap: 12px; padding: 8px 12px; }
#list { flex: 3; overflow: auto; max-height: 45vh; }
#detail { flex: 1; min-width: 18em; overflow: auto; max-height: 45vh; }
table { border-collapse: collapse; width: 100%; }
td, th { text-align: left; padding: 2px 8px; border-bottom: 1px solid #eee; white-space: nowrap; }
td.fields { white-space: normal; }
tr.event { cursor: pointer; } tr.event:hover { background: #eef4ff; } tr.chosen { background: #dbe8ff; }
.warning { color: #9a5b00; } .error { color: #b00020; } .debug { color: #666; } .info { color: #0a5c9c; }
</style></head><body>
<header><strong>chestnuthook time line</strong>
<label>Filter <input type="search" id="filter" placeholder="words; all must occur, e.g. call_ended entry-1"></label>
<label><input type="checkbox" id="debug" checked> debug events</label>
<button id="fit">Show all</button><button id="in">Zoom in</button><button id="out">Zoom out</button>
<span id="count" aria-live="polite"></span></header>
<div id="notes"></div>
<canvas id="view" height="200" aria-label="events by process and time"></canvas>
<div id="below"><div id="list"></div><div id="detail">Choose an event. Wheel zooms, dragging moves, a click chooses.</div></div>
<script>
"use strict";
const NOTES = [/*NOTES*/];
const EVENTS = [/*EVENTS*/].map((e, i) => ({ i, hlc: e[0], wall: e[1], process: e[2], kind: e[3], level: e[4], fields: e[5],
  t: Number(e[0].split(".")[0]) + Number(e[0].split(".")[1]) / 10000,
  text: (e[2] + " " + e[3] + " " + e[4] + " " + Object.entries(e[5]).map(f => f[0] + "=" + f[1]).join(" ")).toLowerCase() }));
const LANES = [...new Set(EVENTS.map(e => e.process))].sort();
const COLOURS = { debug: "#8a8f98", info: "#0a5c9c", warning: "#d98200", error: "#b00020" };
const LABEL = 150, LANE = 46, AXIS = 24, MAX_ROWS = 500, MIN_SPAN = 0.01, PICK = 8;
const $ = id => document.getElementById(id);
const canvas = $("view"), pen = canvas.getContext("2d");
const first = EVENTS.length ? EVENTS[0].t : 0, last = EVENTS.length ? EVENTS[EVENTS.length - 1].t : 1;
let from = first, to = last, shown = EVENTS, chosen = null, spans = [];

function fit() { const room = Math.max((last - first) * 0.03, 1); from = first - room; to = last + room; draw(); }
function x(t) { return LABEL + (t - from) / (to - from) * (canvas.clientWidth - LABEL - 8); }
function timeAt(px) { return from + (px - LABEL) / (canvas.clientWidth - LABEL - 8) * (to - from); }
function lane(e) { return AXIS + LANES.indexOf(e.process) * LANE; }
function iso(ms) { return new Date(ms).toISOString(); }

// A span runs from call_accepted to the call_ended of the same program and call, in the lane where it was accepted.
function findSpans() {
  const open = new Map(), found = [];
  for (const e of EVENTS) {
    const key = e.fields.program + "/" + e.fields.call;
    if (e.kind === "call_accepted") open.set(key, e);
    if (e.kind === "call_ended" && open.has(key)) { found.push({ begin: open.get(key), end: e }); open.delete(key); }
  }
  return found;
}

// A word with `=` is a whole field; any other may stand anywhere.
function matches(e, word) { return word.includes("=") ? (" " + e.text + " ").includes(" " + word + " ") : e.text.includes(word); }

function applyFilter() {
  const words = $("filter").value.toLowerCase().split(/\s+/).filter(w => w);
  shown = EVENTS.filter(e => ($("debug").checked || e.level !== "debug") && words.every(w => matches(e, w)));
  draw();
}

function tickStep() {
  const rough = (to - from) / 8, power = Math.pow(10, Math.floor(Math.log10(rough)));
  return [1, 2, 5, 10].map(f => f * power).find(s => s >= rough);
}

function drawAxis(width, height) {
  const step = tickStep();
  pen.fillStyle = "#555"; pen.strokeStyle = "#e6e6e6"; pen.textAlign = "left";
  for (let t = Math.ceil(from / step) * step; t <= to; t += step) {
    const px = x(t);
    if (px < LABEL) continue;
    pen.beginPath(); pen.moveTo(px, AXIS); pen.lineTo(px, height); pen.stroke();
    const offset = t - first;
    pen.fillText(Math.abs(step) >= 1000 ? (offset / 1000).toFixed(0) + " s" : offset.toFixed(step < 1 ? 2 : 0) + " ms", px + 3, 14);
  }
}

function drawLanes(width) {
  pen.textAlign = "left";
  LANES.forEach((name, i) => {
    const top = AXIS + i * LANE;
    pen.fillStyle = i % 2 ? "#fafafa" : "#f3f5f8"; pen.fillRect(0, top, width, LANE);
    pen.fillStyle = "#222"; pen.fillText(name, 6, top + LANE / 2 + 4, LABEL - 12);
  });
}

function drawSpans(width) {
  pen.save(); pen.beginPath(); pen.rect(LABEL, 0, width - LABEL, canvas.clientHeight); pen.clip();
  const visible = new Set(shown.map(e => e.i));
  for (const s of spans) {
    if (!visible.has(s.begin.i) || s.end.t < from || s.begin.t > to) continue;
    const same = chosen && chosen.fields.program && chosen.fields.program === s.begin.fields.program;
    pen.fillStyle = same ? "rgba(10,92,156,0.55)" : "rgba(10,92,156,0.18)";
    pen.fillRect(x(s.begin.t), lane(s.begin) + 6, Math.max(x(s.end.t) - x(s.begin.t), 2), 12);
  }
  pen.restore();
}

function drawEvents(width) {
  const program = chosen && chosen.fields.program, path = [];
  for (const e of shown) {
    if (e.t < from || e.t > to) continue;
    const px = x(e.t), py = lane(e) + 30;
    const same = program && (e.fields.program === program || e.fields.parent === program);
    pen.fillStyle = COLOURS[e.level] || "#000";
    pen.globalAlpha = program && !same ? 0.25 : 1;
    pen.beginPath(); pen.arc(px, py, e === chosen ? 6 : same ? 5 : 3.5, 0, 7); pen.fill();
    if (same) path.push([px, py]);
  }
  pen.globalAlpha = 1;
  if (path.length > 1) {
    pen.strokeStyle = "rgba(10,92,156,0.5)"; pen.beginPath();
    path.forEach((p, i) => i ? pen.lineTo(p[0], p[1]) : pen.moveTo(p[0], p[1]));
    pen.stroke();
  }
}

function draw() {
  const ratio = window.devicePixelRatio || 1, width = document.documentElement.clientWidth;
  const height = AXIS + Math.max(LANES.length, 1) * LANE;
  canvas.style.height = height + "px";
  canvas.width = width * ratio; canvas.height = height * ratio;
  pen.setTransform(ratio, 0, 0, ratio, 0, 0); pen.font = "12px system-ui, sans-serif";
  drawLanes(width); drawAxis(width, height); drawSpans(width); drawEvents(width);
  drawList();
}

function cell(row, text, style) { const td = document.createElement("td"); td.textContent = text; if (style) td.className = style; row.append(td); }
function fieldText(e) { return Object.entries(e.fields).map(f => f[0] + "=" + f[1]).join("  "); }

function drawList() {
  const inView = shown.filter(e => e.t >= from && e.t <= to);
  $("count").textContent = inView.length + " of " + EVENTS.length + " events in view"
    + (inView.length > MAX_ROWS ? "; the list shows the first " + MAX_ROWS : "");
  const table = document.createElement("table"), head = document.createElement("tr");
  for (const name of ["time", "process", "event", "fields"]) { const th = document.createElement("th"); th.textContent = name; head.append(th); }
  table.append(head);
  for (const e of inView.slice(0, MAX_ROWS)) {
    const row = document.createElement("tr");
    row.className = "event" + (e === chosen ? " chosen" : "");
    cell(row, "+" + (e.t - first).toFixed(1) + " ms"); cell(row, e.process); cell(row, e.kind, e.level); cell(row, fieldText(e), "fields");
    row.onclick = () => choose(e);
    table.append(row);
  }
  $("list").replaceChildren(table);
}

function choose(e) {
  chosen = e;
  const box = $("detail");
  box.replaceChildren();
  if (e) {
    const title = document.createElement("strong"); title.textContent = e.kind; title.className = e.level;
    const table = document.createElement("table");
    for (const [name, value] of [["time", iso(e.wall)], ["hybrid time", e.hlc], ["process", e.process], ["level", e.level], ...Object.entries(e.fields)]) {
      const row = document.createElement("tr"); cell(row, name); cell(row, value, "fields"); table.append(row);
    }
    box.append(title, table);
    for (const name of ["program", "tenant", "endpoint", "attempt"]) {
      if (!e.fields[name]) continue;
      const button = document.createElement("button"); button.textContent = "Only this " + name;
      button.onclick = () => { $("filter").value = name + "=" + e.fields[name]; applyFilter(); };
      box.append(button);
    }
  }
  draw();
}

function zoom(factor, at) {
  const span = Math.max((to - from) * factor, MIN_SPAN), share = (at - from) / (to - from);
  from = at - span * share; to = from + span; draw();
}

canvas.addEventListener("wheel", w => { w.preventDefault(); zoom(w.deltaY > 0 ? 1.25 : 0.8, timeAt(Math.max(w.offsetX, LABEL))); }, { passive: false });
let drag = null;
canvas.addEventListener("pointerdown", p => { drag = { x: p.offsetX, y: p.offsetY, from, to, moved: false }; canvas.setPointerCapture(p.pointerId); });
canvas.addEventListener("pointermove", p => {
  if (!drag) return;
  if (Math.abs(p.offsetX - drag.x) > 3) drag.moved = true;
  const shift = (drag.x - p.offsetX) / (canvas.clientWidth - LABEL - 8) * (drag.to - drag.from);
  from = drag.from + shift; to = drag.to + shift;
  if (drag.moved) draw();
});
canvas.addEventListener("pointerup", p => {
  if (drag && !drag.moved) {
    let best = null, distance = PICK * PICK;
    for (const e of shown) {
      const dx = x(e.t) - p.offsetX, dy = lane(e) + 30 - p.offsetY, d = dx * dx + dy * dy;
      if (d < distance) { distance = d; best = e; }
    }
    choose(best);
  }
  drag = null;
});
$("filter").oninput = applyFilter; $("debug").onchange = applyFilter; $("fit").onclick = fit;
$("in").onclick = () => zoom(0.5, (from + to) / 2); $("out").onclick = () => zoom(2, (from + to) / 2);
window.addEventListener("resize", draw);
for (const note of NOTES) { const p = document.createElement("p"); p.textContent = "Note: " + note; $("notes").append(p); }
spans = findSpans();
fit();
</script></body></html>
)page";

} // namespace Chestnuthook
