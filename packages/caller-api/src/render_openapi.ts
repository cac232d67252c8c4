import {z} from 'zod';
import {ROUTE_DESCRIPTIONS} from './route_descriptions.js';

type Route = (typeof ROUTE_DESCRIPTIONS)[number];

const PROBLEM = z.object({
  type: z.string(),
  title: z.string(),
  status: z.int(),
  code: z.string(),
  detail: z.string(),
  details: z.record(z.string(), z.unknown()),
});

/** The OpenAPI document of the interface, from the schemas in use. */
export function renderOpenapi(): unknown {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const route of ROUTE_DESCRIPTIONS) {
    const path = route.path.replace(/:(\w+)/g, '{$1}');
    paths[path] = {...paths[path], [route.method]: describe(route)};
  }
  return {
    openapi: '3.1.0',
    info: {title: 'cardamomfield', version: '1'},
    paths,
  };
}

function describe(route: Route): unknown {
  return {
    summary: route.summary,
    parameters: [
      ...[...route.path.matchAll(/:(\w+)/g)].map(([, name]) =>
        parameter('path', name ?? '', 'Key of the request.', true),
      ),
      ...parameters('query', route.query),
      ...parameters('header', route.headers),
    ],
    ...(route.body && {
      requestBody: {required: true, content: json(route.body, 'input')},
    }),
    responses: {
      ...Object.fromEntries(
        Object.entries(route.statuses).map(([status, description]) => [
          status,
          {description, content: json(route.answer ?? z.json(), 'output')},
        ]),
      ),
      default: {
        description: 'A problem document; `code` is stable.',
        content: {'application/problem+json': {schema: schemaOf(PROBLEM)}},
      },
    },
  };
}

function parameters(
  place: string,
  described: Readonly<Record<string, string>> = {},
): unknown[] {
  return Object.entries(described).map(([name, description]) =>
    parameter(place, name, description, false),
  );
}

function parameter(
  place: string,
  name: string,
  description: string,
  required: boolean,
): unknown {
  const schema = {type: 'string'};
  return {in: place, name, description, required, schema};
}

function json(schema: z.ZodType, io: 'input' | 'output'): unknown {
  return {'application/json': {schema: schemaOf(schema, io)}};
}

function schemaOf(schema: z.ZodType, io: 'input' | 'output' = 'output') {
  return z.toJSONSchema(schema, {io, unrepresentable: 'any'});
}
